package org.tanagergap.decisions.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards the choice of the prompt parts that are not sent to engines. */
final class PromptQuarantineTests {

    private final QuarantineFixture mFixture = new QuarantineFixture();

    @Nested
    class Decision {

        @Test
        void aPartUnderWhichThreeEnginesCrashedIsQuarantined() {
            mFixture.crashThreeTimes(List.of("p1", "p2"));

            assertThat(mFixture.quarantined("p1", "p2")).isEqualTo(Optional.of("p2"));
        }

        /** Guards against refusing prompts after two coincidences. */
        @Test
        void twoCrashesAreNotEnough() {
            mFixture.crash("e1", List.of("p1"));
            mFixture.pass(QuarantineFixture.SECOND);
            mFixture.crash("e2", List.of("p1"));
            mFixture.pass(QuarantineFixture.SECOND);

            assertThat(mFixture.quarantined("p1")).isEmpty();
        }

        /** Guards against blaming a prompt that was in flight on engines of a lost rack. */
        @Test
        void simultaneousCrashesCountOnce() {
            for (int i = 1; i <= 6; i++) {
                mFixture.crash("e" + i, List.of("p1"));
            }
            mFixture.pass(QuarantineFixture.SECOND);
            mFixture.crash("e7", List.of("p1"));
            mFixture.pass(QuarantineFixture.SECOND);

            assertThat(mFixture.quarantined("p1")).isEmpty();
        }

        /** Guards against one request whose retries were bystanders. */
        @Test
        void theRetriesOfOneRequestAreNotEnough() {
            for (int i = 1; i <= 4; i++) {
                mFixture.mQuarantine.engineCrashed("e" + i, "r1", List.of("p1"), mFixture.mNow);
                mFixture.pass(QuarantineFixture.SECOND);
            }

            assertThat(mFixture.quarantined("p1")).isEmpty();
        }

        @Test
        void tokensBetweenTheCrashesClearAPart() {
            mFixture.crash("e1", List.of("p1"));
            mFixture.pass(QuarantineFixture.SECOND);
            mFixture.crash("e2", List.of("p1"));
            mFixture.pass(QuarantineFixture.SECOND);
            mFixture.mQuarantine.tokensGenerated(List.of("p1"), mFixture.mNow);
            mFixture.crash("e3", List.of("p1"));
            mFixture.pass(QuarantineFixture.SECOND);

            assertThat(mFixture.quarantined("p1")).isEmpty();
        }

        /** Guards against refusing sound prompts that were on the engines that crashed. */
        @Test
        void bystandersOfAKnownCauseAreNotBlamed() {
            for (int i = 1; i <= 3; i++) {
                mFixture.crash("e" + i, List.of("sound"));
                mFixture.crash("e" + i, List.of("cause"));
                mFixture.pass(QuarantineFixture.SECOND);
            }
            mFixture.crash("e4", List.of("cause"));
            mFixture.pass(QuarantineFixture.SECOND);
            mFixture.crash("e4", List.of("sound"));
            mFixture.pass(QuarantineFixture.SECOND);

            assertThat(mFixture.mQuarantined).containsExactly("cause");
        }

        /** Guards against blaming a bystander before the report on the cause has arrived. */
        @Test
        void peersHaveTimeToReportTheCause() {
            mFixture.crash("e0", List.of("cause"));
            mFixture.pass(QuarantineFixture.SECOND);
            for (int i = 1; i <= 3; i++) {
                mFixture.crash("e" + i, List.of("sound"));
                mFixture.mNow += 100 * QuarantineFixture.MILLI;
                mFixture.mQuarantine.decide(mFixture.mNow);
                mFixture.crash("e" + i, List.of("cause"));
                mFixture.pass(QuarantineFixture.SECOND);
            }

            assertThat(mFixture.mQuarantined).containsExactly("cause");
        }

        @Test
        void twoCausesAreToldApart() {
            for (int i = 1; i <= 3; i++) {
                mFixture.crash("a" + i, List.of("cause-1"));
                mFixture.crash("a" + i, List.of("sound"));
                mFixture.pass(QuarantineFixture.SECOND);
                mFixture.crash("b" + i, List.of("cause-2"));
                mFixture.crash("b" + i, List.of("cause-1"));
                mFixture.pass(QuarantineFixture.SECOND);
            }
            mFixture.crash("b4", List.of("cause-2"));
            mFixture.pass(QuarantineFixture.SECOND);
            mFixture.crash("b5", List.of("cause-2"));
            mFixture.pass(QuarantineFixture.SECOND);
            mFixture.crash("b6", List.of("cause-2"));
            mFixture.pass(QuarantineFixture.SECOND);

            assertThat(mFixture.mQuarantined).containsExactly("cause-1", "cause-2");
        }

        /** Guards against refusing all prompts that begin alike. */
        @Test
        void thePartThatFewerRequestsShareIsPreferred() {
            mFixture.crashThreeTimes(List.of("system", "tool", "document"));

            assertThat(mFixture.mQuarantined).containsExactly("document");
        }

        /** Guards against a table that is full of bystanders of a lost rack. */
        @Test
        void aCauseIsFoundAfterManyOtherCrashes() {
            for (int i = 0; i < 600; i++) {
                mFixture.crash("rack-" + i, List.of("sound-" + i));
            }
            mFixture.pass(QuarantineFixture.SECOND);

            mFixture.crashThreeTimes(List.of("cause"));

            assertThat(mFixture.quarantined("cause")).isPresent();
        }

        @Test
        void crashesLongAgoDoNotCount() {
            mFixture.crash("e1", List.of("p1"));
            mFixture.pass(30 * QuarantineFixture.SECOND);
            mFixture.crash("e2", List.of("p1"));
            mFixture.pass(31 * QuarantineFixture.SECOND);
            mFixture.crash("e3", List.of("p1"));
            mFixture.pass(QuarantineFixture.SECOND);

            assertThat(mFixture.quarantined("p1")).isEmpty();
        }
    }

    @Nested
    class Ends {

        @Test
        void afterItsTime() {
            mFixture.crashThreeTimes(List.of("p1"));
            assertThat(mFixture.quarantined("p1")).isPresent();

            mFixture.pass(Duration.ofMinutes(10).toNanos());

            assertThat(mFixture.quarantined("p1")).isEmpty();
        }

        /** Guards against a wrong decision that lasts although an engine answers the prompt. */
        @Test
        void whenAnEngineGeneratesTokens() {
            mFixture.crashThreeTimes(List.of("p1"));

            mFixture.mQuarantine.tokensGenerated(List.of("p1"), mFixture.mNow);

            assertThat(mFixture.quarantined("p1")).isEmpty();
            assertThat(mFixture.mReleased).containsExactly("p1");
        }
    }
}
