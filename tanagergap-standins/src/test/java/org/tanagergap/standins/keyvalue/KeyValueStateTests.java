package org.tanagergap.standins.keyvalue;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class KeyValueStateTests {

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final KeyValueState mState = new KeyValueState(10);

    private boolean put(String key, String value, long lease, Comparison... comparisons) {
        return mState.commit(
                List.of(comparisons), List.of(new Operation.Put(key, value, lease)), List.of());
    }

    private StoredValue read(String key) {
        return mState.range(new KeyRange(key, ""), 0).get(key);
    }

    @Test
    void countsRevisionsAndVersionsPerKey() {
        put("a", "1", 0);
        put("b", "1", 0);
        put("a", "2", 0);

        assertThat(read("a")).isEqualTo(new StoredValue("2", 2, 4, 2, 0));
        assertThat(mState.revision()).isEqualTo(4);
    }

    @Test
    void appliesNothingWhenOneComparisonFails() {
        put("a", "1", 0);
        Comparison absent = new Comparison("a", Comparison.Target.CREATE, 0);
        Comparison atRevision = new Comparison("a", Comparison.Target.MOD, 2);

        assertThat(put("a", "2", 0, atRevision, absent)).isFalse();
        assertThat(put("a", "2", 0, atRevision)).isTrue();
        assertThat(read("a").value()).isEqualTo("2");
    }

    @Test
    void givesOutRevisionsAgainAfterARestore() {
        put("a", "1", 0);
        KeyValueState.Backup backup = mState.backup();
        put("a", "2", 0);
        put("b", "1", 0);
        mState.restore(backup);

        assertThat(read("a").value()).isEqualTo("1");
        assertThat(read("b")).isNull();
        put("c", "1", 0);
        assertThat(mState.revision()).isEqualTo(3);
    }

    @Test
    void losesLeasesThatWereGrantedAfterTheBackup() {
        KeyValueState.Backup backup = mState.backup();
        long lease = mState.grantLease(5, 0);
        mState.restore(backup);

        assertThat(mState.keepLeaseAlive(lease, 0)).isEqualTo(0);
    }

    @Test
    void readsRangesInOrderUpToTheLimit() {
        List.of("k3", "k1", "k2", "l").forEach(key -> put(key, key, 0));

        assertThat(mState.range(new KeyRange("k", "l"), 2).keySet())
                .containsExactly("k1", "k2")
                .inOrder();
        assertThat(mState.range(new KeyRange("k2", "\0"), 0).keySet())
                .containsExactly("k2", "k3", "l");
    }

    @Test
    void deletesTheKeysOfALeaseWhenItExpires() {
        long lease = mState.grantLease(5, 0);
        put("a", "1", lease);
        put("b", "1", 0);

        assertThat(mState.keepLeaseAlive(lease, 4 * SECOND_NANOS)).isEqualTo(5);
        mState.expireLeases(6 * SECOND_NANOS);
        assertThat(read("a")).isNotNull();
        mState.expireLeases(9 * SECOND_NANOS);

        assertThat(read("a")).isNull();
        assertThat(read("b")).isNotNull();
        assertThat(mState.keepLeaseAlive(lease, 9 * SECOND_NANOS)).isEqualTo(0);
    }

    @Test
    void reportsChangesInTheRangeOnlyUntilTheWatchIsCancelled() {
        List<KeyChange> seen = new ArrayList<>();
        long watch = mState.watch(new KeyRange("a", "b"), seen::addAll);
        put("a1", "1", 0);
        put("b1", "1", 0);
        Operation delete = new Operation.Delete(new KeyRange("a", "c"));
        mState.commit(List.of(), List.of(delete), List.of());
        mState.cancelWatch(watch);
        put("a2", "1", 0);

        assertThat(seen.stream().map(KeyChange::key)).containsExactly("a1", "a1");
        assertThat(seen.get(1).value()).isEmpty();
    }

    @Test
    void refusesLargeValuesUnknownLeasesAndDuplicateKeysWithoutEffect() {
        Operation put = new Operation.Put("a", "1", 0);
        Operation delete = new Operation.Delete(new KeyRange("a", "b"));

        assertThrows(RefusedCallException.class, () -> put("a", "12345678901", 0));
        assertThrows(RefusedCallException.class, () -> put("a", "1", 99));
        assertThrows(
                RefusedCallException.class,
                () -> mState.commit(List.of(), List.of(put, delete), List.of()));
        assertThat(mState.revision()).isEqualTo(1);
    }
}
