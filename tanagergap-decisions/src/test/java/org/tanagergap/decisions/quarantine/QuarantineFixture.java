package org.tanagergap.decisions.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A quarantine of one instance with a clock that tests advance, and a record of its decisions. */
final class QuarantineFixture implements PromptQuarantine.Listener {

    static final long SECOND = Duration.ofSeconds(1).toNanos();
    static final long MILLI = Duration.ofMillis(1).toNanos();

    final List<String> mQuarantined = new ArrayList<>();
    final List<String> mReleased = new ArrayList<>();
    final PromptQuarantine mQuarantine = new PromptQuarantine(this);
    long mNow = 100 * SECOND;
    private int mRequests;

    /** Records a crash under another request than before. */
    void crash(String engine, List<String> parts) {
        mQuarantine.engineCrashed(engine, "r" + ++mRequests, parts, mNow);
    }

    /** Advances the clock and decides. */
    void pass(long nanos) {
        mNow += nanos;
        mQuarantine.decide(mNow);
    }

    /** Three crashes one second apart, each with another request. */
    void crashThreeTimes(List<String> parts) {
        for (int i = 1; i <= 3; i++) {
            crash(parts + "-" + i, parts);
            pass(SECOND);
        }
    }

    Optional<String> quarantined(String... parts) {
        return mQuarantine.quarantinedPart(List.of(parts), mNow);
    }

    @Override
    public void quarantined(String part, Duration duration, String reason) {
        mQuarantined.add(part);
    }

    @Override
    public void released(String part) {
        mReleased.add(part);
    }
}
