package org.tanagergap.measure.fleet;

import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;

/**
 * Decisions under measurement.
 *
 * @param name name in reports
 * @param scheduler creates the scheduler of an agent
 * @param router creates the router of an entry, given its failure domain
 * @param priority priority that engines see
 * @param maxAttempts most attempts of a request
 * @param retryRatio retries allowed for each first attempt
 */
public record Policy(
        String name,
        Function<RuntimeClock, UpstreamScheduler> scheduler,
        RouterFactory router,
        PriorityRule priority,
        int maxAttempts,
        double retryRatio) {

    /** Creates the router of an entry. */
    @FunctionalInterface
    public interface RouterFactory {

        RequestRouter create(RuntimeClock clock, String failureDomain, RandomGenerator random);
    }
}
