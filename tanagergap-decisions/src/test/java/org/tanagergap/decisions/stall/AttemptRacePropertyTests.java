package org.tanagergap.decisions.stall;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Plays random attempts against a list of what each has shown. */
final class AttemptRacePropertyTests {

    private static final int STEPS = 60;

    /** Attempt as the oracle sees it. */
    private static final class Played {
        private boolean mOpen = true;
        private boolean mSilent;
    }

    /** Guards against attempts that are ended by anything but progress of another one. */
    @Property(tries = 200, seed = "2501")
    void onlyProgressOfAnotherAttemptEndsAnAttempt(@ForAll long seed) {
        Random random = new Random(seed);
        AttemptRace<Played> race = new AttemptRace<>();
        List<Played> attempts = new ArrayList<>();

        for (int step = 0; step < STEPS; step++) {
            List<Played> open = attempts.stream().filter(attempt -> attempt.mOpen).toList();
            boolean needed = !open.isEmpty() && open.stream().allMatch(attempt -> attempt.mSilent);
            assertThat(race.open()).containsExactlyElementsIn(open).inOrder();
            assertThat(race.allStalled()).isEqualTo(needed);
            if (open.isEmpty() || (needed && random.nextBoolean())) {
                Played attempt = new Played();
                attempts.add(attempt);
                race.started(attempt);
            } else {
                play(race, open, open.get(random.nextInt(open.size())), random.nextInt(4));
            }
        }
    }

    private static void play(
            AttemptRace<Played> race, List<Played> open, Played attempt, int action) {
        switch (action) {
            case 0 -> {
                race.ended(attempt);
                attempt.mOpen = false;
            }
            case 1 -> {
                List<Played> superseded = race.progressed(attempt);
                List<Played> others = new ArrayList<>(open);
                others.remove(attempt);
                assertThat(superseded).containsExactlyElementsIn(others);
                others.forEach(other -> other.mOpen = false);
                attempt.mSilent = false;
            }
            default -> {
                race.stalled(attempt);
                attempt.mSilent = true;
            }
        }
    }
}
