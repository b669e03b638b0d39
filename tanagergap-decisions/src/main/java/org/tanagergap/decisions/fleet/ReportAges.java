package org.tanagergap.decisions.fleet;

/**
 * Ages of the last load reports of the peers.
 *
 * @param peers number of peers with a report
 * @param totalNanos sum of the times since the reports were received, in ns
 */
public record ReportAges(int peers, long totalNanos) {}
