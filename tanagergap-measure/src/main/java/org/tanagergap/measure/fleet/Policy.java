package org.tanagergap.measure.fleet;

import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;

/**
 * Scheduling, routing and retry policy under measurement.
 *
 * @param name name in reports
 * @param scheduler creates the scheduler of an agent
 * @param router creates the router of an entry, given its failure domain
 * @param priority rule for the priority passed to engines
 * @param maxAttempts maximum number of attempts per request
 * @param retryRatio retry budget earned by each new request
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
