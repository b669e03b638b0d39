package org.tanagergap.api.time;

import java.time.Duration;

/** Operations on durations. */
public final class Durations {

    private Durations() {}

    /** Returns the duration, or the nearest end of the range from {@code min} to {@code max}. */
    public static Duration clamp(Duration duration, Duration min, Duration max) {
        Duration atLeastMin = duration.compareTo(min) < 0 ? min : duration;
        return atLeastMin.compareTo(max) > 0 ? max : atLeastMin;
    }
}
