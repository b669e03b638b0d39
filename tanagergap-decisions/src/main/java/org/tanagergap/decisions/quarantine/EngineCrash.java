package org.tanagergap.decisions.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Crash of an engine as seen by one request that ran or waited there and had not received a token.
 *
 * @param engine identifier of the engine's incarnation
 * @param request identifier of the request
 * @param parts identifiers of the prompt parts that the request may share with others, in order
 * @param age time since the crash was observed
 */
public record EngineCrash(String engine, String request, List<String> parts, Duration age) {

    public EngineCrash {
        Objects.requireNonNull(engine, "engine must not be null");
        Objects.requireNonNull(request, "request must not be null");
        Objects.requireNonNull(age, "age must not be null");
        parts = List.copyOf(parts);
    }
}
