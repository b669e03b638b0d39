package org.tanagergap.decisions.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Plays one prompt part that crashes engines among many sound ones, seen by several instances. */
final class PromptQuarantinePropertyTests {

    private static final int INSTANCES = 4;
    private static final int SOUND_PARTS = 30;
    private static final long STEP_NANOS = Duration.ofMillis(100).toNanos();
    private static final String CAUSE = "cause";

    /** Crashes after which the platform's bound begins to run, and that bound in steps. */
    private static final int FIFTH_CRASH = 5;

    private static final int BOUND_STEPS = 30;

    private final Set<String> mQuarantined = new HashSet<>();
    private final List<PromptQuarantine> mInstances =
            Stream.generate(this::instance).limit(INSTANCES).toList();
    private long mNow;
    private int mCrashes;

    private PromptQuarantine instance() {
        return new PromptQuarantine(
                new PromptQuarantine.Listener() {
                    @Override
                    public void quarantined(String part, Duration duration, String reason) {
                        mQuarantined.add(part);
                    }

                    @Override
                    public void released(String part) {}
                });
    }

    /** Guards against causes that are found too late and against sound parts that are blamed. */
    @Property(tries = 500, seed = "1907")
    void onlyTheCauseIsQuarantinedAndInTime(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 6) int bystanders,
            @ForAll @IntRange(min = 3, max = 20) int stepsBetweenCrashes) {
        PromptQuarantinePropertyTests play = new PromptQuarantinePropertyTests();
        play.run(new Random(seed), bystanders, stepsBetweenCrashes);

        assertThat(play.mQuarantined).containsExactly(CAUSE);
    }

    private void run(Random random, int bystanders, int stepsBetweenCrashes) {
        int steps = FIFTH_CRASH * stepsBetweenCrashes + BOUND_STEPS;
        for (int step = 0; step < steps; step++) {
            mNow += STEP_NANOS;
            if (step % stepsBetweenCrashes == 0 && mQuarantined.isEmpty()) {
                crash(random, bystanders);
            }
            if (random.nextInt(4) == 0) {
                any(random).tokensGenerated(List.of(soundPart(random)), mNow);
            }
            mInstances.forEach(instance -> instance.decide(mNow));
            exchange(random);
        }
    }

    private void crash(Random random, int bystanders) {
        String engine = "e" + ++mCrashes;
        any(random).engineCrashed(engine, "c" + mCrashes, List.of(CAUSE), mNow);
        for (int i = 0; i < bystanders; i++) {
            String request = "r" + mCrashes + "-" + i;
            any(random).engineCrashed(engine, request, List.of(soundPart(random)), mNow);
        }
    }

    /** Every instance reports to the others; a third of the datagrams is lost. */
    private void exchange(Random random) {
        for (PromptQuarantine sender : mInstances) {
            QuarantineUpdate update = sender.nextUpdate(mNow);
            for (PromptQuarantine receiver : mInstances) {
                if (receiver != sender && random.nextInt(3) > 0) {
                    receiver.accept(update, mNow);
                }
            }
        }
    }

    private PromptQuarantine any(Random random) {
        return mInstances.get(random.nextInt(INSTANCES));
    }

    private static String soundPart(Random random) {
        return "sound-" + random.nextInt(SOUND_PARTS);
    }
}
