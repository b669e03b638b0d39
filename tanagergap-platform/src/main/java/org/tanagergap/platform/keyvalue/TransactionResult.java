package org.tanagergap.platform.keyvalue;

/**
 * Answer to a transaction.
 *
 * @param succeeded whether the conditions held and the writes were applied
 * @param revision revision of the store after the transaction
 */
public record TransactionResult(boolean succeeded, long revision) {}
