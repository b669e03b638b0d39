package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;

/**
 * Guards the replica against old, repeated and missing changes, which arrive from several sources.
 */
final class StoreReplicaTests {

    private final Map<String, String> mSeen = new HashMap<>();
    private final StoreReplica mReplica =
            new StoreReplica(List.of("a/"), item -> mSeen.put(item.key(), item.value()));

    private static KeyValue item(String key, String value, long revision) {
        return new KeyValue(key, value, revision, 1);
    }

    private static StorePosition position(long epoch, long revision) {
        return new StorePosition(epoch, revision);
    }

    @BeforeEach
    void readFirst() {
        mReplica.replace(List.of(), position(1, 0));
    }

    private static Changes changes(long revision, KeyValue... items) {
        return new Changes(List.of(items), position(1, revision), true);
    }

    @Test
    void anOlderChangeIsIgnored() {
        mReplica.apply(changes(9, item("a/1", "new", 9)));
        mReplica.apply(changes(5, item("a/1", "old", 5)));

        assertThat(mSeen).containsExactly("a/1", "new");
        assertThat(mReplica.position()).isEqualTo(position(1, 9));
    }

    @Test
    void otherKeysAreIgnored() {
        mReplica.apply(changes(9, item("b/1", "x", 9)));

        assertThat(mSeen).isEmpty();
    }

    @Test
    void aFullReadDeletesMissingKeys() {
        mReplica.apply(changes(9, item("a/1", "x", 8), item("a/2", "y", 9)));
        mReplica.replace(List.of(item("a/2", "y", 9)), position(1, 12));

        assertThat(mSeen).containsExactly("a/1", "", "a/2", "y");
    }

    /** A full read takes several pages, and a change may be newer than its first page. */
    @Test
    void aFullReadKeepsNewerKeys() {
        mReplica.apply(changes(20, item("a/1", "x", 20)));
        mReplica.replace(List.of(), position(1, 12));

        assertThat(mSeen).containsExactly("a/1", "x");
    }

    @Test
    void itemsAfterARevisionAreReturned() {
        mReplica.apply(changes(9, item("a/1", "x", 8), item("a/2", "", 9)));

        PeerChanges changes = mReplica.changesAfter(position(1, 8));

        assertThat(changes.items()).containsExactly(item("a/2", "", 9));
        assertThat(changes.allItems()).isFalse();
    }

    /** Revisions of a restored store are lower than those that it has lost. */
    @Test
    void theContentsOfALaterEpochReplaceNewerRevisions() {
        mReplica.apply(changes(90, item("a/1", "lost", 88), item("a/2", "x", 90)));
        mReplica.replace(List.of(item("a/1", "restored", 12)), position(2, 20));

        assertThat(mSeen).containsExactly("a/1", "restored", "a/2", "");
        assertThat(mReplica.position()).isEqualTo(position(2, 20));
    }

    @Test
    void changesOfAnotherEpochAreRejected() {
        Changes later = new Changes(List.of(), position(2, 5), true);

        assertThrows(IllegalArgumentException.class, () -> mReplica.apply(later));
    }

    @Test
    void aReplicaOfAnEarlierEpochGetsAllItems() {
        mReplica.replace(List.of(item("a/1", "x", 5)), position(2, 9));

        PeerChanges changes = mReplica.changesAfter(position(1, 90));

        assertThat(changes.items()).containsExactly(item("a/1", "x", 5));
        assertThat(changes.allItems()).isTrue();
        assertThat(mReplica.changesAfter(position(3, 1)).items()).isEmpty();
    }

    /** A full read does not show that a key was deleted if the replica did not hold it before. */
    @Test
    void aReplicaFromBeforeTheFullReadGetsAllItems() {
        mReplica.replace(List.of(item("a/1", "x", 5)), position(1, 9));

        assertThat(mReplica.changesAfter(position(1, 7)).allItems()).isTrue();
        assertThat(mReplica.changesAfter(position(1, 9)).allItems()).isFalse();
    }

    /** The deleted key would stay for ever, as no further change of it is sent. */
    @Test
    void aLateChangeDoesNotReviveAKeyThatAFullReadLacks() {
        mReplica.replace(List.of(), position(1, 9));
        mReplica.apply(changes(4, item("a/1", "x", 3)));

        assertThat(mSeen).isEmpty();
    }

    /** Changes of the store and of peers arrive in any order and more than once. */
    @Property(tries = 300)
    void theNewestValuesWinInAnyOrder(
            @ForAll @IntRange(min = 1, max = 60) int count, @ForAll long seed) {
        Random random = new Random(seed);
        List<KeyValue> history = new ArrayList<>();
        Map<String, String> expected = new HashMap<>();
        for (int revision = 1; revision <= count; revision++) {
            String value = random.nextInt(4) == 0 ? "" : "v" + revision;
            KeyValue item = item("a/" + random.nextInt(6), value, revision);
            history.add(item);
            expected.put(item.key(), value);
        }
        List<KeyValue> delivered = new ArrayList<>(history);
        delivered.addAll(history.subList(0, history.size() / 2));
        Collections.shuffle(delivered, random);
        Map<String, String> seen = new HashMap<>();
        StoreReplica replica =
                new StoreReplica(List.of("a/"), item -> seen.put(item.key(), item.value()));

        replica.replace(List.of(), position(1, 0));
        for (KeyValue item : delivered) {
            replica.apply(changes(item.modRevision(), item));
        }

        assertThat(seen).isEqualTo(expected);
    }
}
