package org.tanagergap.state.intent;

/**
 * Identity of a non-idempotent call.
 *
 * @param service name of the plain service
 * @param workspace name of the caller's workspace
 * @param idempotencyKey idempotency key chosen by the caller
 */
public record IntentKey(String service, String workspace, String idempotencyKey) {}
