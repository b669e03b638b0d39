package org.tanagergap.measure.fleet;

import java.time.Duration;
import org.tanagergap.standins.engine.EngineSettings;

/**
 * Size, network and engines of the fleet in a measurement.
 *
 * @param name name of the user whose fleet is modelled
 * @param runners model engines, spread evenly over the failure domains
 * @param failureDomains number of failure domains, each with one entry
 * @param crossDomainDelay one-way delay between failure domains
 * @param clientDelay one-way delay between callers and entries
 * @param maxJitter upper bound of the random delay added to each message
 * @param lossProbability share of messages that are lost and retransmitted
 * @param hintLag age of a load hint when it arrives
 * @param engine speed and size of each engine
 */
public record FleetSettings(
        String name,
        int runners,
        int failureDomains,
        Duration crossDomainDelay,
        Duration clientDelay,
        Duration maxJitter,
        double lossProbability,
        Duration hintLag,
        EngineSettings engine) {

    /** Memory of one engine, in tokens; the longest prompts need more than twice as much. */
    public static final long ENGINE_MEMORY_TOKENS = 400_000;

    /** Returns the fleet of Kapakon at its current size. */
    public static FleetSettings kapakon() {
        return new FleetSettings(
                "kapakon",
                20,
                3,
                Duration.ofNanos(3_500_000),
                Duration.ofMillis(3),
                Duration.ofMillis(2),
                0.002,
                Duration.ofMillis(100),
                EngineSettings.of("m1", ENGINE_MEMORY_TOKENS));
    }

    /** Returns the fleet of Huon Shea at its current size. */
    public static FleetSettings huonShea() {
        return new FleetSettings(
                "huon-shea",
                15,
                3,
                Duration.ofMillis(3),
                Duration.ofMillis(3),
                Duration.ofMillis(2),
                0.002,
                Duration.ofMillis(100),
                EngineSettings.of("m1", ENGINE_MEMORY_TOKENS));
    }

    /** Returns a copy with the given age of load hints. */
    public FleetSettings withHintLag(Duration lag) {
        return new FleetSettings(
                name,
                runners,
                failureDomains,
                crossDomainDelay,
                clientDelay,
                maxJitter,
                lossProbability,
                lag,
                engine);
    }
}
