package org.tanagergap.gateway.forward;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.runtime.log.LogItems;
import org.tanagergap.runtime.log.LogKeys;
import org.tanagergap.runtime.metrics.MetricName;

/** Collects the values for the log line and the metrics of one request. */
final class RequestLogRecord {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String mInstanceId;
    private final MetricRegistry mMetrics;
    private final RequestId mId;
    private final GatewayRequest mRequest;
    private final List<AttemptRecord> mAttempts = new ArrayList<>();
    private OptionalLong mFirstMillis = OptionalLong.empty();
    private long mLongestGapMillis;

    RequestLogRecord(
            String instanceId, MetricRegistry metrics, RequestId id, GatewayRequest request) {
        mInstanceId = instanceId;
        mMetrics = metrics;
        mId = id;
        mRequest = request;
    }

    void attemptStarted(AttemptRecord attempt) {
        mAttempts.add(attempt);
    }

    void attemptEnded(AttemptId id, AttemptRecord.End end) {
        mAttempts.replaceAll(attempt -> attempt.id().equals(id) ? attempt.withEnd(end) : attempt);
    }

    void recordFirstEvent(long nowNanos) {
        if (mFirstMillis.isEmpty()) {
            mFirstMillis = OptionalLong.of(millis(nowNanos));
        }
    }

    void recordGap(long millis) {
        mLongestGapMillis = Math.max(mLongestGapMillis, millis);
    }

    /** Writes the log line and updates the metrics. */
    void requestEnded(String code, Execution execution, String message, long nowNanos) {
        String kind = mRequest.route().kind().name().toLowerCase(Locale.ROOT);
        mMetrics.counter(MetricName.of("gateway_requests", "kind", kind, "code", code)).inc();
        Histogram duration = mMetrics.histogram(MetricName.of("gateway_duration_ms", "kind", kind));
        duration.update(millis(nowNanos));
        mFirstMillis.ifPresent(
                first ->
                        mMetrics.histogram(
                                        MetricName.of(
                                                "gateway_first_event_ms",
                                                "rank",
                                                Integer.toString(mRequest.rank())))
                                .update(first));
        FluentLogger.Api line =
                sLogger.atInfo()
                        .with(LogKeys.REQUEST_ID, mId.value())
                        .with(LogKeys.ENTRY, mInstanceId)
                        .with(LogKeys.SERVICE, mRequest.service().name())
                        .with(LogKeys.WORKSPACE, mRequest.workspace().orElse(""))
                        .with(LogKeys.RANK, Integer.toString(mRequest.rank()))
                        .with(LogKeys.CODE, code)
                        .with(LogKeys.EXECUTION, execution.wireName())
                        .with(LogKeys.CONFIGURATION, mRequest.configurationVersion())
                        .with(LogKeys.DURATION_MS, millis(nowNanos))
                        .with(
                                LogKeys.TRIED,
                                new LogItems(
                                        mAttempts.stream().map(AttemptRecord::fields).toList()));
        if (mRequest.service().engine().isPresent()) {
            line =
                    line.with(LogKeys.TOKENS, mRequest.cost().promptTokens())
                            .with(LogKeys.LONGEST_GAP_MS, mLongestGapMillis);
        }
        if (mFirstMillis.isPresent()) {
            line = line.with(LogKeys.FIRST_TOKEN_MS, mFirstMillis.getAsLong());
        }
        line.log("request ended: %s", message);
    }

    private long millis(long nowNanos) {
        return (nowNanos - mRequest.arrivalNanos()) / NANOS_PER_MILLI;
    }
}
