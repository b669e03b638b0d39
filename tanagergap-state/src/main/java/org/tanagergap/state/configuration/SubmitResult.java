package org.tanagergap.state.configuration;

/** Result of a submission. */
public sealed interface SubmitResult {

    /** The document was accepted as the given version. */
    record Accepted(long version) implements SubmitResult {}

    /** Another submission was accepted first; this one can no longer take effect. */
    record Conflict(StoredConfiguration current) implements SubmitResult {}

    /** The submission was not accepted and can no longer take effect. */
    record Rejected(String reason) implements SubmitResult {}

    /** The store was unavailable; the outcome can be requested later with the nonce. */
    record Unresolved(String nonce, String reason) implements SubmitResult {}
}
