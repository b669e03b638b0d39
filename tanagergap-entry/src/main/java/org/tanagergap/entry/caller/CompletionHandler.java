package org.tanagergap.entry.caller;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.tanagergap.api.configuration.ServiceDefinition;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.entry.execution.RequestPayload;
import org.tanagergap.entry.execution.RunHandle;

/** Handles completions and chat completions. */
final class CompletionHandler {

    /** Length of the prompt prefix that is hashed for routing (design page, section 3). */
    private static final int PREFIX_CHARACTERS = 4_096;

    private static final int PREFIX_HASH_HEX_DIGITS = 32;

    // Decoding JSON takes about 5 ms per MB, so larger bodies are not decoded on event loops.
    private static final int INLINE_PARSE_BYTES = 128 * 1024;

    private final CallerServerContext mServerContext;

    CompletionHandler(CallerServerContext serverContext) {
        mServerContext = serverContext;
    }

    void handle(CallerCall call, boolean chat) {
        BodyReader.read(mServerContext, call, body -> parse(call, body, chat));
    }

    private void parse(CallerCall call, Buffer body, boolean chat) {
        call.onDisconnect(call::abandoned);
        if (body.length() <= INLINE_PARSE_BYTES) {
            try {
                run(call, CompletionParser.parse(body, chat));
            } catch (RequestFailure e) {
                call.refuse(e);
            }
            return;
        }
        mServerContext
                .vertx()
                .executeBlocking(() -> CompletionParser.parse(body, chat), false)
                .onSuccess(parsed -> run(call, parsed))
                .onFailure(failure -> call.refuse(asRequestFailure(failure)));
    }

    private void run(CallerCall call, ParsedCompletion parsed) {
        if (call.hasEnded()) {
            return;
        }
        RequestCost cost =
                mServerContext
                        .tokens()
                        .cost(parsed.model(), parsed.promptBytes(), parsed.maxTokens());
        ServiceDefinition service;
        try {
            service = service(call.policy(), parsed, cost);
        } catch (RequestFailure e) {
            call.refuse(e);
            return;
        }
        CompletionFormat format =
                new CompletionFormat(
                        call.id(),
                        parsed.model(),
                        parsed.chat(),
                        mServerContext.clock().now().getEpochSecond());
        CompletionResponseWriter responseWriter =
                new CompletionResponseWriter(
                        call,
                        format,
                        LengthBand.of(cost.promptTokens()),
                        parsed.stream(),
                        count ->
                                mServerContext
                                        .tokens()
                                        .observe(parsed.model(), parsed.promptBytes(), count));
        RequestPayload payload =
                new RequestPayload.Completion(
                        parsed.model(), parsed.prompt(), cost, prefixHash(call.policy(), parsed));
        RunHandle handle =
                mServerContext
                        .executor()
                        .execute(call.request(service.name(), payload), responseWriter);
        call.onDisconnect(
                () -> {
                    handle.cancel();
                    call.abandoned();
                });
    }

    private static ServiceDefinition service(
            CallerPolicy policy, ParsedCompletion parsed, RequestCost cost) {
        ServiceDefinition service =
                policy.configuration()
                        .serviceOfModel(parsed.model())
                        .orElseThrow(
                                () ->
                                        RequestFailure.notRun(
                                                        FailureCode.UNKNOWN_MODEL,
                                                        "no service offers model \""
                                                                + parsed.model()
                                                                + "\"")
                                                .withField("/model"));
        if (!policy.workspace().services().contains(service.name())) {
            throw RequestFailure.notRun(
                            FailureCode.FORBIDDEN,
                            "the workspace may not use model \"" + parsed.model() + "\"")
                    .withField("/model");
        }
        if (cost.promptTokens() > service.maxPromptTokens()) {
            throw RequestFailure.notRun(
                            FailureCode.BODY_TOO_LARGE,
                            "the prompt has about "
                                    + cost.promptTokens()
                                    + " tokens; the service accepts "
                                    + service.maxPromptTokens())
                    .withField(parsed.chat() ? "/messages" : "/prompt");
        }
        return service;
    }

    private static String prefixHash(CallerPolicy policy, ParsedCompletion parsed) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(policy.workspace().name().getBytes(StandardCharsets.UTF_8));
            // The separator prevents two different pairs of names from having the same bytes.
            digest.update((byte) 0);
            digest.update(parsed.model().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            String prompt = parsed.prompt();
            String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
            byte[] hash = digest.digest(prefix.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash).substring(0, PREFIX_HASH_HEX_DIGITS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform lacks SHA-256", e);
        }
    }

    private static RequestFailure asRequestFailure(Throwable failure) {
        return failure instanceof RequestFailure known
                ? known
                : RequestFailure.of(
                                FailureCode.UPSTREAM_FAILED,
                                Execution.UNKNOWN,
                                "the request could not be processed")
                        .withCause(failure);
    }
}
