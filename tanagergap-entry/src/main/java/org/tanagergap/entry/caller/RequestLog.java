package org.tanagergap.entry.caller;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.entry.execution.AttemptLogRecord;
import org.tanagergap.entry.execution.CallerRequest;
import org.tanagergap.runtime.log.LogItems;
import org.tanagergap.runtime.log.LogKeys;

/** Collects the fields of one request's log line, which {@code tanagergap-ctl explain} reads. */
final class RequestLog {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RequestId mId;
    private final String mEntry;
    private final List<AttemptLogRecord> mAttempts = new ArrayList<>();
    private Optional<CallerPolicy> mPolicy = Optional.empty();
    private Optional<CallerRequest> mRequest = Optional.empty();
    private OptionalLong mFirstTokenMillis = OptionalLong.empty();

    RequestLog(RequestId id, String entry) {
        mId = id;
        mEntry = entry;
    }

    void policy(CallerPolicy policy) {
        mPolicy = Optional.of(policy);
    }

    void request(CallerRequest request) {
        mRequest = Optional.of(request);
    }

    void attempt(AttemptLogRecord logRecord) {
        mAttempts.add(logRecord);
    }

    void firstToken(long millis) {
        mFirstTokenMillis = OptionalLong.of(millis);
    }

    /** Writes the line of a request with a complete response. */
    void succeeded(String code, long durationMillis) {
        line(code, mAttempts.isEmpty() ? Execution.NOT_RUN : Execution.RAN, durationMillis)
                .log("request ended: %s", code);
    }

    /** Writes the line of a request whose caller disconnected; the last attempt may have run. */
    void abandoned(String code, long durationMillis) {
        line(code, mAttempts.isEmpty() ? Execution.NOT_RUN : Execution.UNKNOWN, durationMillis)
                .log("request ended: the caller disconnected");
    }

    /** Writes the line of a refused or failed request. */
    void failed(RequestFailure failure, long durationMillis) {
        line(failure.code().wireName(), failure.execution(), durationMillis)
                .with(LogKeys.FIELD, failure.field().orElse(null))
                .withCause(failure.getCause())
                .log("request failed: %s", failure.getMessage());
    }

    private FluentLogger.Api line(String code, Execution execution, long durationMillis) {
        FluentLogger.Api line =
                sLogger.atInfo()
                        .with(LogKeys.REQUEST_ID, mId.value())
                        .with(LogKeys.ENTRY, mEntry)
                        .with(LogKeys.WORKSPACE, mPolicy.map(p -> p.workspace().name()).orElse(""))
                        .with(LogKeys.RANK, mPolicy.map(p -> p.rank().name()).orElse(""))
                        .with(LogKeys.CODE, code)
                        .with(LogKeys.EXECUTION, execution.wireName())
                        .with(LogKeys.ATTEMPTS, mAttempts.size())
                        .with(LogKeys.DURATION_MS, durationMillis)
                        .with(
                                LogKeys.TRIED,
                                new LogItems(
                                        mAttempts.stream().map(AttemptLogRecord::fields).toList()));
        if (mRequest.isPresent()) {
            line =
                    line.with(LogKeys.SERVICE, mRequest.get().service())
                            .with(LogKeys.TOKENS, mRequest.get().payload().cost().promptTokens());
        }
        return mFirstTokenMillis.isPresent()
                ? line.with(LogKeys.FIRST_TOKEN_MS, mFirstTokenMillis.getAsLong())
                : line;
    }
}
