package org.tanagergap.decisions.scheduling;

/**
 * Queued work of one rank.
 *
 * @param queued number of items
 * @param queuedTokens memory of the items, in tokens
 */
public record RankLoad(int queued, long queuedTokens) {}
