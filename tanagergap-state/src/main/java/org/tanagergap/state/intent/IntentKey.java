package org.tanagergap.state.intent;

/**
 * Identity of a non-idempotent call.
 *
 * @param service name of the plain service
 * @param workspace name of the caller's workspace
 * @param idempotencyKey key that the caller chose
 */
public record IntentKey(String service, String workspace, String idempotencyKey) {}
