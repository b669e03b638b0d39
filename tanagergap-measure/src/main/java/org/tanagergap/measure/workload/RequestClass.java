package org.tanagergap.measure.workload;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.tanagergap.decisions.policy.PolicyStamp;

/**
 * Stream of similar requests with exponential times between arrivals.
 *
 * @param name name in reports
 * @param policy workspace and rank
 * @param requestsPerSecond mean rate of arrivals
 * @param minPromptTokens shortest prompt
 * @param maxPromptTokens longest prompt; lengths are spread evenly on a logarithmic scale
 * @param outputTokens output of each request
 * @param deadline time allowed
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

    /** Time to the next arrival. */
    public Duration nextArrival(RandomGenerator random) {
        double seconds = random.nextExponential() / requestsPerSecond;
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    /** Length of the next prompt, in tokens. */
    public long nextPromptTokens(RandomGenerator random) {
        double low = Math.log(minPromptTokens);
        double high = Math.log(maxPromptTokens);
        return Math.round(Math.exp(low + random.nextDouble() * (high - low)));
    }

    /** Mean length of prompts, in tokens. */
    public double meanPromptTokens() {
        if (minPromptTokens == maxPromptTokens) {
            return minPromptTokens;
        }
        double ratio = Math.log((double) maxPromptTokens / minPromptTokens);
        return (maxPromptTokens - minPromptTokens) / ratio;
    }

    /** Copy with another rate of arrivals. */
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
