package org.tanagergap.entry.caller;

import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.api.configuration.RankDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.entry.configuration.ConfigurationSnapshot;
import org.tanagergap.entry.configuration.ConfigurationView;

/** Reads workspace, rank and deadline from the headers of a request. */
final class PolicyReader {

    private static final String BEARER = "Bearer ";
    private static final Duration NO_CONFIGURATION_RETRY_AFTER = Duration.ofSeconds(1);

    private final ConfigurationView mView;
    private final KeyVerifier mKeys = new KeyVerifier();
    private final RuntimeClock mClock;

    PolicyReader(ConfigurationView view, RuntimeClock clock) {
        mView = view;
        mClock = clock;
    }

    /** Reads the policy of a request; throws {@link RequestFailure} if a header is not valid. */
    CallerPolicy read(HttpServerRequest request) {
        ConfigurationSnapshot configuration = mView.current();
        if (configuration.version() == 0) {
            throw RequestFailure.notRun(
                            FailureCode.UNAVAILABLE, "the entry has no configuration yet")
                    .withRetryAfter(NO_CONFIGURATION_RETRY_AFTER);
        }
        WorkspaceDefinition workspace = workspace(configuration, request);
        RankDefinition rank = rank(configuration, workspace, request);
        return new CallerPolicy(configuration, workspace, rank, deadline(rank, request));
    }

    private WorkspaceDefinition workspace(
            ConfigurationSnapshot configuration, HttpServerRequest request) {
        return Optional.ofNullable(request.getHeader(CallerHeaders.AUTHORIZATION))
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .flatMap(v -> mKeys.verify(configuration, v.substring(BEARER.length()).trim()))
                .orElseThrow(
                        () ->
                                RequestFailure.notRun(
                                                FailureCode.UNAUTHORIZED,
                                                "the bearer key is missing or unknown")
                                        .withField(CallerHeaders.AUTHORIZATION));
    }

    private static RankDefinition rank(
            ConfigurationSnapshot configuration,
            WorkspaceDefinition workspace,
            HttpServerRequest request) {
        String name =
                Optional.ofNullable(request.getHeader(CallerHeaders.RANK))
                        .orElse(workspace.defaultRank());
        RankDefinition rank =
                configuration
                        .rank(name)
                        .orElseThrow(
                                () ->
                                        RequestFailure.notRun(
                                                        FailureCode.UNKNOWN_RANK,
                                                        "rank \"" + name + "\" does not exist")
                                                .withField(CallerHeaders.RANK));
        if (!workspace.ranks().contains(name)) {
            throw RequestFailure.notRun(
                            FailureCode.FORBIDDEN,
                            "workspace \"" + workspace.name() + "\" may not use rank " + name)
                    .withField(CallerHeaders.RANK);
        }
        return rank;
    }

    private Deadline deadline(RankDefinition rank, HttpServerRequest request) {
        String text = request.getHeader(CallerHeaders.DEADLINE_MS);
        if (text == null) {
            return Deadline.after(mClock, rank.defaultDeadline());
        }
        long maxMillis = rank.maxDeadline().toMillis();
        long millis = parsePositive(text);
        if (millis < 1 || millis > maxMillis) {
            throw RequestFailure.notRun(
                            FailureCode.INVALID_DEADLINE,
                            "the deadline must be a whole number from 1 to " + maxMillis)
                    .withField(CallerHeaders.DEADLINE_MS);
        }
        return Deadline.after(mClock, Duration.ofMillis(millis));
    }

    private static long parsePositive(String text) {
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
