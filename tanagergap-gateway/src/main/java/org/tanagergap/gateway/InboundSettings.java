package org.tanagergap.gateway;

/**
 * Limits on the connections and request heads of clients.
 *
 * @param maxConnections connections of clients; 0 for half of the descriptors of the process
 * @param maxHeaderLines lines of the head of a request
 * @param maxLeadingBytes bytes, such as empty lines, in front of a head
 */
public record InboundSettings(int maxConnections, int maxHeaderLines, int maxLeadingBytes) {}
