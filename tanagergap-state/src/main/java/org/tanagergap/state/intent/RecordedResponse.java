package org.tanagergap.state.intent;

import java.util.Optional;

/**
 * Answer to a non-idempotent call.
 *
 * @param status HTTP status
 * @param contentType media type of the body; may be empty
 * @param body text of the body; empty when it was too large to keep
 */
public record RecordedResponse(int status, String contentType, Optional<String> body) {}
