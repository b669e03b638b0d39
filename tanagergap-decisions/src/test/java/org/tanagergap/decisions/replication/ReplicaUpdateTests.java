package org.tanagergap.decisions.replication;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.store.StorePosition;

/** Guards replicas against revisions of a history that the store has lost. */
final class ReplicaUpdateTests {

    private static final StorePosition REPLICA = new StorePosition(2, 50);
    private static final StorePosition BEFORE = new StorePosition(1, 90);
    private static final StorePosition SAME = new StorePosition(2, 60);
    private static final StorePosition LATER = new StorePosition(3, 10);

    @Test
    void changesAreAppliedOnlyWithinOneEpoch() {
        assertThat(ReplicaUpdate.forChanges(REPLICA, REPLICA, SAME)).isEqualTo(ReplicaUpdate.APPLY);
        assertThat(ReplicaUpdate.forChanges(REPLICA, REPLICA, LATER))
                .isEqualTo(ReplicaUpdate.READ_ALL);
        assertThat(ReplicaUpdate.forChanges(REPLICA, REPLICA, BEFORE))
                .isEqualTo(ReplicaUpdate.IGNORE);
    }

    /** They leave out what happened up to a revision that meant something else when requested. */
    @Test
    void changesRequestedBeforeTheReplicaLearnedOfARestoreAreIgnored() {
        assertThat(ReplicaUpdate.forChanges(BEFORE, REPLICA, SAME)).isEqualTo(ReplicaUpdate.IGNORE);
    }

    @Test
    void pagesOfTwoEpochsAreReadAgain() {
        assertThat(ReplicaUpdate.forContents(REPLICA, List.of(SAME, LATER)))
                .isEqualTo(ReplicaUpdate.READ_ALL);
        assertThat(ReplicaUpdate.forContents(REPLICA, List.of(LATER, LATER)))
                .isEqualTo(ReplicaUpdate.REPLACE);
        assertThat(ReplicaUpdate.forContents(REPLICA, List.of(BEFORE)))
                .isEqualTo(ReplicaUpdate.IGNORE);
    }

    @Test
    void theFirstReadReplacesAnEmptyReplica() {
        assertThat(ReplicaUpdate.forContents(StorePosition.NONE, List.of(new StorePosition(0, 7))))
                .isEqualTo(ReplicaUpdate.REPLACE);
    }

    @Test
    void aLowerRevisionOfALaterEpochIsLater() {
        assertThat(LATER.isAfter(REPLICA)).isTrue();
        assertThat(REPLICA.max(LATER)).isEqualTo(LATER);
        assertThat(BEFORE.isAfter(REPLICA)).isFalse();
    }
}
