package org.tanagergap.platform.keyvalue;

/**
 * Result of a transaction.
 *
 * @param succeeded true if the conditions held and the writes were applied
 * @param revision revision of the store after the transaction
 */
public record TransactionResult(boolean succeeded, long revision) {}
