package org.tanagergap.standins.engine;

import java.time.Duration;

/**
 * What a stand-in engine publishes, with its delays and checks.
 *
 * @param model name of the model that is loaded
 * @param loadLag age that a load report reaches before it is renewed
 * @param cacheEventDelay time between a change of the cache and its event
 * @param dropEveryEvent every n-th cache event is dropped; 0 for none
 * @param checksFencing whether administrative requests with an old fencing number are refused
 */
public record EngineServerSettings(
        String model,
        Duration loadLag,
        Duration cacheEventDelay,
        int dropEveryEvent,
        boolean checksFencing) {}
