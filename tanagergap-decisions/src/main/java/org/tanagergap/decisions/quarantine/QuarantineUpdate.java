package org.tanagergap.decisions.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What one instance tells its peers about prompts and crashes.
 *
 * @param crashes crashes that it has observed lately
 * @param cleared prompt parts on which an engine has generated tokens, with the time since then
 * @param quarantined prompt parts in quarantine, with the remaining time
 */
public record QuarantineUpdate(
        List<EngineCrash> crashes,
        Map<String, Duration> cleared,
        Map<String, Duration> quarantined) {

    public static final QuarantineUpdate NONE = new QuarantineUpdate(List.of(), Map.of(), Map.of());

    public QuarantineUpdate {
        crashes = List.copyOf(crashes);
        cleared = Map.copyOf(cleared);
        quarantined = Map.copyOf(quarantined);
    }
}
