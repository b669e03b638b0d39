package org.tanagergap.state.configuration;

/** What became of a submission. */
public sealed interface SubmitResult {

    /** The document was accepted as the given version. */
    record Accepted(long version) implements SubmitResult {}

    /** Another submission came first; the document was not accepted and never will be. */
    record Conflict(StoredConfiguration current) implements SubmitResult {}

    /** The submission was not accepted and never will be. */
    record Rejected(String reason) implements SubmitResult {}

    /** The service gave no answer; the outcome can be asked for with the nonce. */
    record Unresolved(String nonce, String reason) implements SubmitResult {}
}
