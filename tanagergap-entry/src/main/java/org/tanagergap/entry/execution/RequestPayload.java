package org.tanagergap.entry.execution;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.protocol.v1.Header;

/** What a request asks an upstream to do. */
public sealed interface RequestPayload {

    /** Whether the work may run more than once. */
    boolean idempotent();

    /** Estimated work; zero for plain services. */
    RequestCost cost();

    /** Hash of the prompt's start, for routing by cache affinity. */
    default Optional<String> prefixHash() {
        return Optional.empty();
    }

    /** Key that should reach the same agent each time. */
    default Optional<String> affinityKey() {
        return Optional.empty();
    }

    /**
     * Completion of a prompt by a model engine.
     *
     * @param model name of the model
     * @param prompt text of the prompt
     * @param cost estimated work
     * @param hash hash of the prompt's start
     */
    record Completion(String model, String prompt, RequestCost cost, String hash)
            implements RequestPayload {
        @Override
        public boolean idempotent() {
            return true;
        }

        @Override
        public Optional<String> prefixHash() {
            return Optional.of(hash);
        }
    }

    /**
     * Call of a plain service.
     *
     * @param method HTTP method
     * @param path path and query below the service
     * @param headers headers that are forwarded
     * @param body body of the call
     * @param idempotent whether the service declares that the call may be repeated
     * @param idempotencyKey key that the caller chose
     */
    record Plain(
            String method,
            String path,
            List<Header> headers,
            Buffer body,
            boolean idempotent,
            Optional<String> idempotencyKey)
            implements RequestPayload {
        public Plain {
            headers = List.copyOf(headers);
        }

        @Override
        public RequestCost cost() {
            return new RequestCost(0, 0);
        }

        @Override
        public Optional<String> affinityKey() {
            return idempotent ? Optional.empty() : idempotencyKey;
        }
    }
}
