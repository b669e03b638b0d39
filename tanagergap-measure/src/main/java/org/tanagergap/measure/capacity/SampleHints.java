package org.tanagergap.measure.capacity;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.decisions.scheduling.RankLoad;

/** Creates load hints of the size that a loaded agent sends. */
final class SampleHints {

    private static final int PREFIXES = 32;

    private SampleHints() {}

    static LoadHint busy() {
        return new LoadHint(
                400_000,
                120_000,
                new PrefillBacklog(9_000, 60_000, 900_000),
                15_200,
                Map.of(
                        "urgent", new RankLoad(3, 9_000),
                        "standard", new RankLoad(2, 60_000),
                        "batch", new RankLoad(5, 900_000)),
                false,
                true,
                Duration.ofMillis(400),
                prefixes(),
                12);
    }

    private static Set<String> prefixes() {
        Set<String> prefixes = new HashSet<>();
        for (int i = 0; i < PREFIXES; i++) {
            prefixes.add("%016x".formatted(i * 0x9E3779B97F4A7C15L));
        }
        return prefixes;
    }
}
