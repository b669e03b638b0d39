package org.tanagergap.entry.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.tanagergap.api.configuration.ServiceDefinition;
import org.tanagergap.api.configuration.ServiceKind;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.entry.execution.RequestPayload;
import org.tanagergap.entry.execution.RunHandle;

/** Forwards calls to plain services. */
final class PlainHandler {

    static final String PREFIX = "/services/";

    private static final int MAX_KEY_CHARACTERS = 128;

    private final CallerServerContext mServerContext;

    PlainHandler(CallerServerContext serverContext) {
        mServerContext = serverContext;
    }

    void handle(CallerCall call) {
        HttpServerRequest request = call.context().request();
        // The normalized path is both matched and forwarded: a path such as /stock/../orders must
        // not match the idempotent operation /stock.
        String rest = call.context().normalizedPath().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        ServiceDefinition service = service(call.policy(), name);
        String method = request.method().name();
        boolean idempotent = service.isIdempotent(method, path);
        Optional<String> key = idempotencyKey(request);
        if (!idempotent && key.isEmpty()) {
            throw RequestFailure.notRun(
                            FailureCode.IDEMPOTENCY_KEY_REQUIRED,
                            method + " " + path + " of \"" + name + "\" needs an idempotency key")
                    .withField(CallerHeaders.IDEMPOTENCY_KEY);
        }
        String query = request.query();
        String target = query == null || query.isEmpty() ? path : path + "?" + query;
        BodyReader.read(
                mServerContext,
                call,
                body -> run(call, name, plain(request, target, body, idempotent, key)));
    }

    private void run(CallerCall call, String service, RequestPayload.Plain payload) {
        PlainResponseWriter responseWriter = new PlainResponseWriter(call);
        RunHandle handle =
                mServerContext.executor().execute(call.request(service, payload), responseWriter);
        if (payload.idempotent()) {
            call.onDisconnect(
                    () -> {
                        handle.cancel();
                        call.abandoned();
                    });
        } else {
            call.onDisconnect(responseWriter::callerDisconnected);
        }
    }

    private static RequestPayload.Plain plain(
            HttpServerRequest request,
            String target,
            Buffer body,
            boolean idempotent,
            Optional<String> key) {
        return new RequestPayload.Plain(
                request.method().name(),
                target,
                ForwardedHeaders.fromCaller(request.headers()),
                body,
                idempotent,
                key);
    }

    private static ServiceDefinition service(CallerPolicy policy, String name) {
        ServiceDefinition service =
                policy.configuration()
                        .service(name)
                        .filter(s -> s.kind() == ServiceKind.PLAIN)
                        .orElseThrow(
                                () ->
                                        RequestFailure.notRun(
                                                        FailureCode.UNKNOWN_SERVICE,
                                                        "plain service \""
                                                                + name
                                                                + "\" does not exist")
                                                .withField("path"));
        if (!policy.workspace().services().contains(name)) {
            throw RequestFailure.notRun(
                            FailureCode.FORBIDDEN,
                            "the workspace may not use service \"" + name + "\"")
                    .withField("path");
        }
        return service;
    }

    private static Optional<String> idempotencyKey(HttpServerRequest request) {
        Optional<String> key =
                Optional.ofNullable(request.getHeader(CallerHeaders.IDEMPOTENCY_KEY));
        if (key.isPresent() && !isValidKey(key.get())) {
            throw RequestFailure.notRun(
                            FailureCode.MALFORMED_REQUEST,
                            "the idempotency key must have 1 to 128 visible ASCII characters")
                    .withField(CallerHeaders.IDEMPOTENCY_KEY);
        }
        return key;
    }

    private static boolean isValidKey(String key) {
        return !key.isEmpty()
                && key.length() <= MAX_KEY_CHARACTERS
                && key.chars().allMatch(c -> c > ' ' && c <= '~');
    }
}
