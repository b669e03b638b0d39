package org.tanagergap.measure.workload;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.tanagergap.decisions.policy.PolicyStamp;

/**
 * A Poisson stream of similar requests.
 *
 * @param name name in reports
 * @param policy workspace and rank with their scheduling properties
 * @param requestsPerSecond mean arrival rate
 * @param minPromptTokens shortest prompt
 * @param maxPromptTokens longest prompt; lengths are log-uniformly distributed
 * @param outputTokens tokens that each request generates
 * @param deadline time from the arrival to the deadline
 */
public record RequestClass(
        String name,
        PolicyStamp policy,
        double requestsPerSecond,
        long minPromptTokens,
        long maxPromptTokens,
        int outputTokens,
        Duration deadline) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Draws the time to the next arrival. */
    public Duration nextArrival(RandomGenerator random) {
        double seconds = random.nextExponential() / requestsPerSecond;
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    /** Draws the length of the next prompt, in tokens. */
    public long nextPromptTokens(RandomGenerator random) {
        double low = Math.log(minPromptTokens);
        double high = Math.log(maxPromptTokens);
        return Math.round(Math.exp(low + random.nextDouble() * (high - low)));
    }

    /** Returns the mean prompt length of the log-uniform distribution, in tokens. */
    public double meanPromptTokens() {
        if (minPromptTokens == maxPromptTokens) {
            return minPromptTokens;
        }
        double ratio = Math.log((double) maxPromptTokens / minPromptTokens);
        return (maxPromptTokens - minPromptTokens) / ratio;
    }

    /** Returns a copy with another arrival rate. */
    public RequestClass withRate(double newRequestsPerSecond) {
        return new RequestClass(
                name,
                policy,
                newRequestsPerSecond,
                minPromptTokens,
                maxPromptTokens,
                outputTokens,
                deadline);
    }
}
