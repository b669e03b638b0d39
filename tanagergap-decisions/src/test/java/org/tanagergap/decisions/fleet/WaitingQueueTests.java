package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the order in which waiting requests are served. */
final class WaitingQueueTests {

    private final WaitingQueue<String> mQueue = new WaitingQueue<>();
    private long mSequence;

    private void add(String item, int rank, long latestDispatchForTarget, long latestDispatch) {
        mQueue.add(
                new WaitingRequest<>(
                        item, rank, mSequence++, latestDispatchForTarget, latestDispatch));
    }

    private List<String> order(long now) {
        return mQueue.inOrder(now).stream().map(WaitingRequest::item).toList();
    }

    /**
     * Guards against order of arrival, in which each request of a burst was sent just after it had
     * missed its target.
     */
    @Test
    void requestsThatCanMeetTheirTargetPrecedeThoseThatMissedIt() {
        add("late", 0, 10, 1_000);
        add("fresh", 0, 200, 2_000);

        assertThat(order(50)).containsExactly("fresh", "late").inOrder();
    }

    @Test
    void urgentRanksPrecedeOthersAmongThoseThatCanMeetTheirTarget() {
        add("batch", 2, 100, 1_000);
        add("urgent", 0, 200, 1_000);

        assertThat(order(50)).containsExactly("urgent", "batch").inOrder();
    }

    @Test
    void theEarlierTargetPrecedesTheLater() {
        add("second", 1, 300, 1_000);
        add("first", 1, 200, 1_000);

        assertThat(order(50)).containsExactly("first", "second").inOrder();
    }

    @Test
    void equalsKeepTheOrderOfArrival() {
        add("first", 1, 200, 1_000);
        add("second", 1, 200, 1_000);

        assertThat(order(50)).containsExactly("first", "second").inOrder();
    }

    @Test
    void requestsPastTheirLatestDispatchAreExpired() {
        add("expired", 1, 10, 40);
        add("alive", 1, 10, 60);

        assertThat(mQueue.expired(40).stream().map(WaitingRequest::item))
                .containsExactly("expired");
    }

    @Test
    void requestsAheadAreThoseServedEarlier() {
        add("urgent", 0, 200, 1_000);
        add("late", 0, 10, 1_000);
        WaitingRequest<String> request = new WaitingRequest<>("new", 1, 9, 200, 1_000);

        assertThat(mQueue.requestsAhead(request, 50)).isEqualTo(1);
    }
}
