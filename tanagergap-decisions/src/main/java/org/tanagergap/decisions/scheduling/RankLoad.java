package org.tanagergap.decisions.scheduling;

/**
 * Queued work of one rank.
 *
 * @param queued number of items
 * @param queuedTokens their work, in tokens
 */
public record RankLoad(int queued, long queuedTokens) {}
