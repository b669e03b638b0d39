package org.tanagergap.agent.message;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.protocol.v1.CostEstimate;
import org.tanagergap.protocol.v1.Execution;
import org.tanagergap.protocol.v1.Failed;

/** Converts between the agent's types and the messages of the protocol. */
public final class ProtocolMessages {

    /** Longest deadline of a rank; a {@code Duration} of 300 years has no nanoseconds. */
    private static final long MAX_TIME_LEFT_MILLIS = Duration.ofDays(7).toMillis();

    private ProtocolMessages() {}

    /** Converts a failure to its message. */
    public static Failed failed(RequestFailure failure) {
        Execution execution =
                switch (failure.execution()) {
                    case NOT_RUN -> Execution.EXECUTION_NOT_RUN;
                    case RAN -> Execution.EXECUTION_RAN;
                    case UNKNOWN -> Execution.EXECUTION_UNKNOWN;
                };
        return Failed.newBuilder()
                .setCode(failure.code().wireName())
                .setMessage(String.valueOf(failure.getMessage()))
                .setExecution(execution)
                .setRetryAfterMs(failure.retryAfter().map(Duration::toMillis).orElse(0L))
                .setField(failure.field().orElse(""))
                .build();
    }

    /** Converts the policy of a request; throws a {@code RequestFailure} if a field is missing. */
    public static PolicyStamp stamp(org.tanagergap.protocol.v1.PolicyStamp message) {
        if (message.getWorkspace().isEmpty() || message.getRank().isEmpty()) {
            throw malformed("policy", "policy must name a workspace and a rank");
        }
        if (message.getWeight() < 1) {
            throw malformed("policy", "weight must be at least 1: " + message.getWeight());
        }
        return new PolicyStamp(
                message.getConfigurationVersion(),
                message.getWorkspace(),
                message.getWeight(),
                message.getRank(),
                message.getRankPriority(),
                message.getRankFloorPercent());
    }

    /** Converts the cost of a completion; throws a {@code RequestFailure} if it is negative. */
    public static RequestCost cost(CostEstimate message) {
        if (message.getPromptTokens() < 0 || message.getMaxOutputTokens() < 0) {
            throw malformed("cost", "cost must not be negative");
        }
        return new RequestCost(message.getPromptTokens(), message.getMaxOutputTokens());
    }

    /** Converts the time left of a request, limited to what the configuration allows. */
    public static Duration timeLeft(long millis) {
        return Duration.ofMillis(Math.min(MAX_TIME_LEFT_MILLIS, millis));
    }

    /** Failure that refuses a request with an invalid field. */
    public static RequestFailure malformed(String field, String text) {
        return RequestFailure.notRun(FailureCode.MALFORMED_REQUEST, text).withField(field);
    }

    /** Salt that separates the cached prefixes of workspaces. */
    public static String cacheSalt(String workspace) {
        return sha256(workspace.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * SHA-256 of the parts. Each part is preceded by its length, so that the same bytes split into
     * other parts give another hash.
     */
    public static String sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update((part.length + ":").getBytes(StandardCharsets.US_ASCII));
                digest.update(part);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime does not provide SHA-256", e);
        }
    }
}
