package org.tanagergap.measure.scenario;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.tanagergap.measure.workload.RequestRecord;

/** Statistics over the requests of a run. */
public final class Statistics {

    private Statistics() {}

    /**
     * Returns a quantile of the time to first token, in seconds, or NaN if no matching request has
     * a first token.
     */
    public static double firstTokenSeconds(
            List<RequestRecord> requests, Predicate<RequestRecord> filter, double quantile) {
        long[] nanos =
                requests.stream()
                        .filter(filter)
                        .filter(RequestRecord::hasFirstToken)
                        .mapToLong(r -> r.timeToFirstToken().toNanos())
                        .sorted()
                        .toArray();
        if (nanos.length == 0) {
            return Double.NaN;
        }
        int index = (int) Math.ceil(quantile * nanos.length) - 1;
        return nanos[Math.max(0, index)] / 1e9;
    }

    /**
     * Returns the share of the offered tokens whose requests finished within their deadline, or NaN
     * if none were offered.
     */
    public static double servedShare(
            List<RequestRecord> requests, Predicate<RequestRecord> filter) {
        double offered = 0;
        double served = 0;
        for (RequestRecord request : requests) {
            if (filter.test(request)) {
                offered += request.workTokens();
                served += finishedWithinDeadline(request) ? request.workTokens() : 0;
            }
        }
        return offered == 0 ? Double.NaN : served / offered;
    }

    /** Returns the tokens per second of requests that ended in the window within their deadline. */
    public static double goodput(
            List<RequestRecord> requests,
            Predicate<RequestRecord> filter,
            Duration from,
            Duration until) {
        double tokens = 0;
        for (RequestRecord request : requests) {
            boolean inWindow =
                    request.endNanos() >= from.toNanos() && request.endNanos() < until.toNanos();
            if (inWindow && filter.test(request) && finishedWithinDeadline(request)) {
                tokens += request.workTokens();
            }
        }
        return tokens / (until.minus(from).toNanos() / 1e9);
    }

    /**
     * Returns the tokens per second that were processed in the window for requests that finish
     * within their deadline.
     *
     * <p>Progress must have been recorded at both ends of the window. Long requests run for a large
     * part of a window, so that counting whole requests by their end would count service before the
     * window and miss service at its end.
     */
    public static double servedTokensPerSecond(
            List<RequestRecord> requests,
            Predicate<RequestRecord> filter,
            Duration from,
            Duration until) {
        double tokens = 0;
        for (RequestRecord request : requests) {
            if (filter.test(request) && finishedWithinDeadline(request)) {
                tokens += request.workDoneBy(until.toNanos()) - request.workDoneBy(from.toNanos());
            }
        }
        return tokens / (until.minus(from).toNanos() / 1e9);
    }

    /** Returns the mean number of attempts per request. */
    public static double attemptsPerRequest(List<RequestRecord> requests) {
        return requests.stream().mapToInt(RequestRecord::attempts).average().orElse(Double.NaN);
    }

    /**
     * Returns the number of admitted requests that had neither finished nor failed when their
     * deadline plus the tolerance had passed.
     */
    public static long admittedUnresolvedAtDeadline(
            List<RequestRecord> requests, Duration tolerance) {
        return requests.stream()
                .filter(RequestRecord::isAdmitted)
                .filter(
                        r ->
                                r.outcome() == RequestRecord.Outcome.PENDING
                                        || r.endNanos() > r.deadlineNanos() + tolerance.toNanos())
                .count();
    }

    /** Returns the number of admitted requests that failed because their deadline passed. */
    public static long deadlineExceededCount(List<RequestRecord> requests) {
        return requests.stream()
                .filter(r -> r.outcome() == RequestRecord.Outcome.DEADLINE_EXCEEDED)
                .count();
    }

    /** Returns Jain's fairness index, which is 1 when all values are equal. */
    public static double jainIndex(double[] values) {
        double sum = 0;
        double squares = 0;
        for (double value : values) {
            sum += value;
            squares += value * value;
        }
        return squares == 0 ? 0 : sum * sum / (values.length * squares);
    }

    /** Matches the requests of a rank that arrived in the window. */
    public static Predicate<RequestRecord> arrivedWithin(
            String rank, Duration from, Duration until) {
        return r ->
                r.requestClass().policy().rank().equals(rank)
                        && r.arrivalNanos() >= from.toNanos()
                        && r.arrivalNanos() < until.toNanos();
    }

    private static boolean finishedWithinDeadline(RequestRecord request) {
        return request.outcome() == RequestRecord.Outcome.FINISHED
                && request.endNanos() <= request.deadlineNanos();
    }
}
