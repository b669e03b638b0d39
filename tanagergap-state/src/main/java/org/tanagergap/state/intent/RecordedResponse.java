package org.tanagergap.state.intent;

import java.util.Optional;

/**
 * Recorded response to a non-idempotent call.
 *
 * @param status HTTP status
 * @param contentType media type of the body; may be empty
 * @param body text of the body; empty if it was too large to record
 */
public record RecordedResponse(int status, String contentType, Optional<String> body) {}
