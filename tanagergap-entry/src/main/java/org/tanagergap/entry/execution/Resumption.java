package org.tanagergap.entry.execution;

/**
 * Position from which an attempt continues a completion.
 *
 * @param nextIndex index of the first token that the caller has not received
 * @param text text of the tokens before it
 */
record Resumption(long nextIndex, String text) {}
