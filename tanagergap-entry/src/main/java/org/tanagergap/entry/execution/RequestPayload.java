package org.tanagergap.entry.execution;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.protocol.v1.Header;

/** Completion or plain service call that an upstream runs for a request. */
public sealed interface RequestPayload {

    /** Returns true if the payload may run more than once. */
    boolean idempotent();

    /** Estimated cost in tokens; zero for plain services. */
    RequestCost cost();

    /** Hash of the prompt's prefix, for routing by cache affinity. */
    default Optional<String> prefixHash() {
        return Optional.empty();
    }

    /** Key whose requests should all reach the same agent. */
    default Optional<String> affinityKey() {
        return Optional.empty();
    }

    /**
     * Completion of a prompt by a model engine.
     *
     * @param model name of the model
     * @param prompt text of the prompt
     * @param cost estimated cost in tokens
     * @param hash hash of the prompt's prefix
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
     * @param idempotent true if the service declares the operation as idempotent
     * @param idempotencyKey idempotency key that the caller chose
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
