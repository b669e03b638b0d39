package org.tanagergap.decisions.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards the choice of the prompt parts that are not sent to engines. */
final class PromptQuarantineTests {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final RecordingListener mListener = new RecordingListener();
    private final PromptQuarantine mQuarantine = new PromptQuarantine(mListener);
    private long mNow = 100 * SECOND;
    private int mRequests;

    private static final class RecordingListener implements PromptQuarantine.Listener {

        private final List<String> mQuarantined = new ArrayList<>();
        private final List<String> mReleased = new ArrayList<>();

        @Override
        public void quarantined(String part, Duration duration, String reason) {
            mQuarantined.add(part);
        }

        @Override
        public void released(String part) {
            mReleased.add(part);
        }
    }

    private void crash(String engine, List<String> parts) {
        mQuarantine.engineCrashed(engine, "r" + ++mRequests, parts, mNow);
    }

    private void pass(long nanos) {
        mNow += nanos;
        mQuarantine.decide(mNow);
    }

    /** Three crashes one second apart, each with another request. */
    private void crashThreeTimes(List<String> parts) {
        for (int i = 1; i <= 3; i++) {
            crash(parts + "-" + i, parts);
            pass(SECOND);
        }
    }

    private Optional<String> quarantined(String... parts) {
        return mQuarantine.quarantinedPart(List.of(parts), mNow);
    }

    @Nested
    class Decision {

        @Test
        void aPartUnderWhichThreeEnginesCrashedIsQuarantined() {
            crashThreeTimes(List.of("p1", "p2"));

            assertThat(quarantined("p1", "p2")).isEqualTo(Optional.of("p2"));
        }

        /** Guards against refusing prompts after two coincidences. */
        @Test
        void twoCrashesAreNotEnough() {
            crash("e1", List.of("p1"));
            pass(SECOND);
            crash("e2", List.of("p1"));
            pass(SECOND);

            assertThat(quarantined("p1")).isEmpty();
        }

        /** Guards against blaming a prompt that was in flight on engines of a lost rack. */
        @Test
        void simultaneousCrashesCountOnce() {
            for (int i = 1; i <= 6; i++) {
                crash("e" + i, List.of("p1"));
            }
            pass(SECOND);
            crash("e7", List.of("p1"));
            pass(SECOND);

            assertThat(quarantined("p1")).isEmpty();
        }

        /** Guards against one request whose retries were bystanders. */
        @Test
        void theRetriesOfOneRequestAreNotEnough() {
            for (int i = 1; i <= 4; i++) {
                mQuarantine.engineCrashed("e" + i, "r1", List.of("p1"), mNow);
                pass(SECOND);
            }

            assertThat(quarantined("p1")).isEmpty();
        }

        @Test
        void tokensBetweenTheCrashesClearAPart() {
            crash("e1", List.of("p1"));
            pass(SECOND);
            crash("e2", List.of("p1"));
            pass(SECOND);
            mQuarantine.tokensGenerated(List.of("p1"), mNow);
            crash("e3", List.of("p1"));
            pass(SECOND);

            assertThat(quarantined("p1")).isEmpty();
        }

        /** Guards against refusing sound prompts that were on the engines that crashed. */
        @Test
        void bystandersOfAKnownCauseAreNotBlamed() {
            for (int i = 1; i <= 3; i++) {
                crash("e" + i, List.of("sound"));
                crash("e" + i, List.of("cause"));
                pass(SECOND);
            }
            crash("e4", List.of("cause"));
            pass(SECOND);
            crash("e4", List.of("sound"));
            pass(SECOND);

            assertThat(mListener.mQuarantined).containsExactly("cause");
        }

        /** Guards against blaming a bystander before the report on the cause has arrived. */
        @Test
        void peersHaveTimeToReportTheCause() {
            crash("e0", List.of("cause"));
            pass(SECOND);
            for (int i = 1; i <= 3; i++) {
                crash("e" + i, List.of("sound"));
                mNow += 100 * MILLI;
                mQuarantine.decide(mNow);
                crash("e" + i, List.of("cause"));
                pass(SECOND);
            }

            assertThat(mListener.mQuarantined).containsExactly("cause");
        }

        @Test
        void twoCausesAreToldApart() {
            for (int i = 1; i <= 3; i++) {
                crash("a" + i, List.of("cause-1"));
                crash("a" + i, List.of("sound"));
                pass(SECOND);
                crash("b" + i, List.of("cause-2"));
                crash("b" + i, List.of("cause-1"));
                pass(SECOND);
            }
            crash("b4", List.of("cause-2"));
            pass(SECOND);
            crash("b5", List.of("cause-2"));
            pass(SECOND);
            crash("b6", List.of("cause-2"));
            pass(SECOND);

            assertThat(mListener.mQuarantined).containsExactly("cause-1", "cause-2");
        }

        /** Guards against refusing all prompts that begin alike. */
        @Test
        void thePartThatFewerRequestsShareIsPreferred() {
            crashThreeTimes(List.of("system", "tool", "document"));

            assertThat(mListener.mQuarantined).containsExactly("document");
        }

        /** Guards against a table that is full of bystanders of a lost rack. */
        @Test
        void aCauseIsFoundAfterManyOtherCrashes() {
            for (int i = 0; i < 600; i++) {
                crash("rack-" + i, List.of("sound-" + i));
            }
            pass(SECOND);

            crashThreeTimes(List.of("cause"));

            assertThat(quarantined("cause")).isPresent();
        }

        @Test
        void crashesLongAgoDoNotCount() {
            crash("e1", List.of("p1"));
            pass(30 * SECOND);
            crash("e2", List.of("p1"));
            pass(31 * SECOND);
            crash("e3", List.of("p1"));
            pass(SECOND);

            assertThat(quarantined("p1")).isEmpty();
        }
    }

    @Nested
    class Ends {

        @Test
        void afterItsTime() {
            crashThreeTimes(List.of("p1"));
            assertThat(quarantined("p1")).isPresent();

            pass(Duration.ofMinutes(10).toNanos());

            assertThat(quarantined("p1")).isEmpty();
        }

        /** Guards against a wrong decision that lasts although an engine answers the prompt. */
        @Test
        void whenAnEngineGeneratesTokens() {
            crashThreeTimes(List.of("p1"));

            mQuarantine.tokensGenerated(List.of("p1"), mNow);

            assertThat(quarantined("p1")).isEmpty();
            assertThat(mListener.mReleased).containsExactly("p1");
        }
    }

    @Nested
    class Peers {

        private final PromptQuarantine mOther = new PromptQuarantine(new RecordingListener());

        private void exchange() {
            mOther.accept(mQuarantine.nextUpdate(mNow), mNow);
            mQuarantine.accept(mOther.nextUpdate(mNow), mNow);
        }

        /** Guards against instances that each see too few crashes to decide. */
        @Test
        void crashesOfAllInstancesAreAddedUp() {
            crash("e1", List.of("p1"));
            exchange();
            pass(SECOND);
            mOther.engineCrashed("e2", "other-1", List.of("p1"), mNow);
            exchange();
            pass(SECOND);
            mOther.engineCrashed("e3", "other-2", List.of("p1"), mNow);
            exchange();
            pass(SECOND);

            assertThat(quarantined("p1")).isPresent();
        }

        /** Guards against counting one crash for each instance and repetition that reports it. */
        @Test
        void aCrashSeenByTwoInstancesCountsOnce() {
            for (int i = 1; i <= 2; i++) {
                crash("e" + i, List.of("p1"));
                mOther.engineCrashed("e" + i, "other-" + i, List.of("p1"), mNow);
                exchange();
                pass(SECOND);
                exchange();
            }

            assertThat(quarantined("p1")).isEmpty();
        }

        /** Guards against a quarantine that is lost with the instance that decided it. */
        @Test
        void aQuarantineReachesAnInstanceThatStartsLater() {
            crashThreeTimes(List.of("p1"));
            exchange();
            PromptQuarantine late = new PromptQuarantine(new RecordingListener());

            late.accept(mOther.nextUpdate(mNow), mNow);

            assertThat(late.quarantinedPart(List.of("p1"), mNow)).isPresent();
        }

        @Test
        void tokensSeenByAnotherInstanceClearAPart() {
            crash("e1", List.of("p1"));
            exchange();
            pass(SECOND);
            crash("e2", List.of("p1"));
            exchange();
            pass(SECOND);
            mOther.tokensGenerated(List.of("p1"), mNow);
            exchange();
            pass(SECOND);
            crash("e3", List.of("p1"));
            pass(SECOND);

            assertThat(quarantined("p1")).isEmpty();
        }

        /** Guards against a crash report that arrives after the tokens that clear it. */
        @Test
        void tokensGeneratedBeforeTheReportArrivesClearAPart() {
            crash("e1", List.of("p1"));
            pass(SECOND);
            crash("e2", List.of("p1"));
            mNow += 10 * MILLI;
            mOther.tokensGenerated(List.of("p1"), mNow);
            exchange();
            pass(SECOND);
            crash("e3", List.of("p1"));
            pass(SECOND);

            assertThat(quarantined("p1")).isEmpty();
        }

        /** Guards against peers that prolong a quarantine for each other. */
        @Test
        void aQuarantineIsNotProlongedByReports() {
            crashThreeTimes(List.of("p1"));
            for (int i = 0; i < 601; i++) {
                QuarantineUpdate delayed = mQuarantine.nextUpdate(mNow);
                pass(SECOND);
                mOther.accept(delayed, mNow);
                mQuarantine.accept(mOther.nextUpdate(mNow), mNow);
            }
            pass(2 * SECOND);

            assertThat(quarantined("p1")).isEmpty();
            assertThat(mOther.quarantinedPart(List.of("p1"), mNow)).isEmpty();
        }
    }
}
