package org.tanagergap.decisions.memory;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.memory.BodyAdmission.Answer;
import org.tanagergap.decisions.memory.BodyAdmission.Reservation;

/** Guards a process against bodies that are each within their limit and together fill the heap. */
final class BodyAdmissionTests {

    private static final long MEBI = 1 << 20;
    private static final long MAX_BYTES = 16 * MEBI;
    private static final Duration PATIENCE = Duration.ofMillis(750);
    private static final int URGENT = 0;
    private static final int BATCH = 2;

    private final SharedMemoryLimit mLimit = new SharedMemoryLimit(MAX_BYTES);
    private final BodyAdmission mAdmission = new BodyAdmission(mLimit);
    private final List<String> mAdmitted = new ArrayList<>();
    private final List<String> mRefused = new ArrayList<>();
    private final List<Duration> mRetryAfter = new ArrayList<>();
    private long mNowNanos;

    private Reservation open(String name, int rank) {
        return mAdmission.open(
                rank,
                PATIENCE,
                () -> mAdmitted.add(name),
                after -> {
                    mRefused.add(name);
                    mRetryAfter.add(after);
                });
    }

    private Reservation complete(String name, long bytes) {
        Reservation body = open(name, BATCH);
        assertThat(body.reserve(bytes, mNowNanos)).isEqualTo(Answer.ADMITTED);
        body.completed();
        return body;
    }

    private void advance(Duration time) {
        mNowNanos += time.toNanos();
    }

    @Test
    void aBurstOfLongBodiesStaysWithinItsShare() {
        int admitted = 0;
        for (int i = 0; i < 200; i++) {
            Answer answer = open("b" + i, BATCH).reserve(4 * MEBI, mNowNanos);
            admitted += answer == Answer.ADMITTED ? 1 : 0;
        }

        assertThat(admitted).isEqualTo(2);
        assertThat(mAdmission.reservedBytes()).isEqualTo(8 * MEBI);
        assertThat(mLimit.usedBytes()).isEqualTo(8 * MEBI);
    }

    @Test
    void shortBodiesAreReadBesideABurstOfLongOnes() {
        complete("a", 5 * MEBI);
        complete("b", 5 * MEBI);

        Answer answer = open("short", BATCH).reserve(4000, mNowNanos);

        assertThat(answer).isEqualTo(Answer.ADMITTED);
    }

    /** Connections, heads and long bodies together left no memory for short bodies. */
    @Test
    void shortBodiesAreReadBesideLongOnesAndConnections() {
        mLimit.open(() -> {}).add(6 * MEBI);
        while (open("long", BATCH).reserve(MEBI, mNowNanos) == Answer.ADMITTED) {
            assertThat(mLimit.usedBytes()).isAtMost(MAX_BYTES);
        }

        Answer answer = open("short", BATCH).reserve(64 << 10, mNowNanos);

        assertThat(answer).isEqualTo(Answer.ADMITTED);
    }

    @Test
    void aBodyThatDidNotFitIsAdmittedWhenItAsksAgain() {
        Reservation first = complete("a", 10 * MEBI);
        Reservation second = open("b", BATCH);
        assertThat(second.tryReserve(MEBI)).isFalse();
        first.close(mNowNanos);

        assertThat(second.tryReserve(MEBI)).isTrue();
        assertThat(mAdmission.reservedBytes()).isEqualTo(MEBI);
    }

    @Test
    void aBodyWaitsIfMemoryIsReleasedSoonEnough() {
        Reservation first = complete("a", 8 * MEBI);
        complete("b", 2 * MEBI).close(mNowNanos);
        advance(Duration.ofMillis(10));

        assertThat(open("next", BATCH).reserve(3 * MEBI, mNowNanos)).isEqualTo(Answer.REFUSED);
        complete("c", 2 * MEBI).close(mNowNanos);
        complete("d", 2 * MEBI).close(mNowNanos);
        Reservation waiting = open("waiting", BATCH);
        assertThat(waiting.reserve(3 * MEBI, mNowNanos)).isEqualTo(Answer.WAITING);
        first.close(mNowNanos);

        assertThat(mAdmitted).containsExactly("waiting");
    }

    @Test
    void aRefusedBodyIsToldWhenMemoryWillBeFree() {
        complete("a", 10 * MEBI);
        complete("short", 1).close(mNowNanos);

        open("next", BATCH).reserve(5 * MEBI, mNowNanos);

        assertThat(mRefused).containsExactly("next");
        assertThat(mRetryAfter.get(0)).isGreaterThan(Duration.ofSeconds(2));
    }

    @Test
    void anUrgentBodyIsNotRefusedForALessUrgentOneThatIsStillRead() {
        open("batch", BATCH).reserve(8 * MEBI, mNowNanos);

        Answer answer = open("urgent", URGENT).reserve(4 * MEBI, mNowNanos);

        assertThat(answer).isEqualTo(Answer.ADMITTED);
        assertThat(mRefused).containsExactly("batch");
        assertThat(mAdmission.reservedBytes()).isEqualTo(4 * MEBI);
    }

    @Test
    void completeBodiesAreKeptForAnUrgentOne() {
        complete("batch", 8 * MEBI);

        Answer answer = open("urgent", URGENT).reserve(4 * MEBI, mNowNanos);

        assertThat(answer).isEqualTo(Answer.WAITING);
        assertThat(mRefused).isEmpty();
    }

    @Test
    void aBodyThatHasWaitedTooLongIsRefused() {
        complete("a", 9 * MEBI);
        complete("b", MEBI).close(mNowNanos);
        Reservation waiting = open("waiting", BATCH);
        assertThat(waiting.reserve(MEBI + 10, mNowNanos)).isEqualTo(Answer.WAITING);
        advance(PATIENCE);

        waiting.waitEnded(mNowNanos);

        assertThat(mRefused).containsExactly("waiting");
    }

    /** Responses can use so much that giving up bodies would not make room. */
    @Test
    void bodiesDoNotGiveWayInVain() {
        SharedMemoryLimit.Share response = mLimit.open(() -> {});
        response.add(12 * MEBI);
        response.completed();
        open("batch", BATCH).reserve(MEBI, mNowNanos);

        open("urgent", URGENT).reserve(4 * MEBI, mNowNanos);

        assertThat(mRefused).doesNotContain("batch");
    }

    @Test
    void memoryThatGaveWayAndIsNotNeededServesThoseThatWait() {
        open("batch", BATCH).reserve(9 * MEBI, mNowNanos);
        complete("short", 1).close(mNowNanos);
        advance(Duration.ofSeconds(3));
        Reservation waiting = open("waiting", BATCH);
        assertThat(waiting.reserve(2 * MEBI, mNowNanos)).isEqualTo(Answer.WAITING);

        open("urgent", URGENT).reserve(4 * MEBI, mNowNanos);

        assertThat(mRefused).containsExactly("batch");
        assertThat(mAdmitted).containsExactly("waiting");
    }
}
