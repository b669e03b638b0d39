package org.tanagergap.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.tanagergap.gateway.forward.EventSequenceChecker.Verdict;

/** Guards streams against missing and repeated events. */
final class EventSequenceCheckerTests {

    private static StreamEvent event(long id) {
        return new StreamEvent(OptionalLong.of(id), Buffer.buffer("x"));
    }

    @Test
    void theFirstEventMayHaveAnyIdentifier() {
        assertThat(new EventSequenceChecker(OptionalLong.empty(), false).check(event(5)))
                .isEqualTo(Verdict.NEXT);
    }

    @Test
    void aResumedStreamContinuesAfterTheLastEvent() {
        EventSequenceChecker checker = new EventSequenceChecker(OptionalLong.of(4), false);

        assertThat(checker.check(event(3))).isEqualTo(Verdict.REPEATED);
        assertThat(checker.check(event(4))).isEqualTo(Verdict.REPEATED);
        assertThat(checker.check(event(5))).isEqualTo(Verdict.NEXT);
        assertThat(checker.check(event(7))).isEqualTo(Verdict.AFTER_GAP);
    }

    @Test
    void eventsWithoutIdentifierPass() {
        StreamEvent plain = new StreamEvent(OptionalLong.empty(), Buffer.buffer("x"));

        assertThat(new EventSequenceChecker(OptionalLong.of(1), false).check(plain))
                .isEqualTo(Verdict.NEXT);
    }

    /** An error event of the next run was forwarded in the middle of a stream. */
    @Test
    void anEventWithoutIdentifierIsNotPartOfAResumedStream() {
        StreamEvent plain = new StreamEvent(OptionalLong.empty(), Buffer.buffer("x"));

        assertThat(new EventSequenceChecker(OptionalLong.of(1), true).check(plain))
                .isEqualTo(Verdict.UNIDENTIFIED);
    }
}
