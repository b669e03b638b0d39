package org.tanagergap.decisions.replication;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Guards against fleets in which nobody polls the store, or in which all gateways do. */
final class StoreReadersTests {

    private static final int INSTANCES = 30;
    private static final List<String> DOMAINS = List.of("a", "b", "c");

    private static final ReplicationTiming TIMING =
            new ReplicationTiming(ReplicationTiming.DEFAULT_LIMIT);

    private long mNow = 1;

    private static PeerRead read(String domain, long millisAgo, int failedCalls) {
        return new PeerRead(domain, Optional.of(Duration.ofMillis(millisAgo)), false, failedCalls);
    }

    private static String domain(int instance) {
        return DOMAINS.get(instance % DOMAINS.size());
    }

    /** Instance that has heard a part of the fleet, whose last reads are of that age. */
    private StoreReaders instance(int own, int from, int to, long millisAgo) {
        StoreReaders readers = new StoreReaders("g" + own, domain(own), TIMING);
        readers.storeRead(mNow);
        hear(readers, from, to, millisAgo, 0);
        return readers;
    }

    private void hear(StoreReaders readers, int from, int to, long millisAgo, int failedCalls) {
        for (int i = from; i < to; i++) {
            readers.peerReported("g" + i, read(domain(i), millisAgo, failedCalls), mNow);
        }
    }

    private void advance(long millis) {
        mNow += Duration.ofMillis(millis).toNanos();
    }

    @Test
    void allInstancesChooseTheSameReaderInEachDomain() {
        Set<String> chosen = new TreeSet<>();
        Set<String> domains = new TreeSet<>();
        for (int i = 0; i < INSTANCES; i++) {
            if (instance(i, 0, INSTANCES, 100).isReader(INSTANCES, mNow)) {
                chosen.add("g" + i);
                domains.add(domain(i));
            }
        }

        assertThat(chosen).hasSize(3);
        assertThat(domains).hasSize(3);
        assertThat(instance(4, 0, INSTANCES, 100).readers(mNow)).isEqualTo(chosen);
    }

    @Test
    void aFleetInOneDomainHasMoreThanOneReader() {
        StoreReaders readers = new StoreReaders("g0", "a", TIMING);
        for (int i = 1; i < INSTANCES; i++) {
            readers.peerReported("g" + i, read("a", 100, 0), mNow);
        }

        assertThat(readers.readers(mNow)).hasSize(3);
    }

    @Test
    void eachInstanceOfASmallFleetPolls() {
        for (int i = 0; i < 5; i++) {
            assertThat(instance(i, 0, 5, 100).isReader(5, mNow)).isTrue();
        }
    }

    @Test
    void eachSideOfAPartitionHasItsOwnReaders() {
        for (int start : List.of(0, 15)) {
            Set<String> chosen = instance(start, start, start + 15, 100).readers(mNow);
            assertThat(chosen).hasSize(3);
        }
    }

    @Test
    void anInstanceThatHearsNoPeerIsItsOwnReader() {
        StoreReaders readers = instance(3, 0, INSTANCES, 100);
        advance(1600);

        assertThat(readers.isReader(INSTANCES, mNow)).isTrue();
        assertThat(readers.isAlone(mNow)).isTrue();
    }

    @Test
    void aDeadReaderIsReplacedInItsDomain() {
        StoreReaders readers = instance(3, 0, INSTANCES, 100);
        String dead =
                readers.readers(mNow).stream().filter(id -> !id.equals("g3")).findFirst().get();
        advance(1600);
        for (int i = 0; i < INSTANCES; i++) {
            if (!dead.equals("g" + i)) {
                hear(readers, i, i + 1, 100, 0);
            }
        }

        assertThat(readers.readers(mNow)).doesNotContain(dead);
        assertThat(readers.readers(mNow)).hasSize(3);
    }

    /** Otherwise a gateway that the store rejects would remain a reader for good. */
    @Test
    void aPeerThatDoesNotReachTheStoreIsNoReader() {
        StoreReaders readers = instance(3, 0, 15, 100);
        hear(readers, 15, INSTANCES, 9000, 0);

        for (String reader : readers.readers(mNow)) {
            assertThat(Integer.parseInt(reader.substring(1))).isLessThan(15);
        }
    }

    /** Readers that were cut off together left the fleet without news for 1.2 s. */
    @Test
    void aReaderIsReplacedByOneOfItsDomainWhenItsCallFails() {
        StoreReaders readers = instance(3, 0, INSTANCES, 100);
        for (String id : Set.copyOf(readers.readers(mNow))) {
            int failing = Integer.parseInt(id.substring(1));
            if (failing == 3) {
                readers.storeCallFailed();
            } else {
                hear(readers, failing, failing + 1, 100, 1);
            }
            assertThat(readers.readers(mNow)).doesNotContain(id);
            assertThat(readers.readers(mNow)).hasSize(3);
        }
    }

    @Test
    void aReaderWhoseCallsSucceedAgainIsChosenAgain() {
        StoreReaders readers = instance(3, 0, INSTANCES, 100);
        Set<String> chosen = Set.copyOf(readers.readers(mNow));
        hear(readers, 0, INSTANCES, 100, 1);
        readers.storeCallFailed();
        assertThat(readers.readers(mNow)).isEqualTo(chosen);

        hear(readers, 0, INSTANCES, 100, 0);
        readers.storeRead(mNow);
        assertThat(readers.readers(mNow)).isEqualTo(chosen);
    }

    @Test
    void thereAreReadersWhileTheStoreIsUnavailableToAll() {
        StoreReaders readers = new StoreReaders("g0", "a", TIMING);
        hear(readers, 1, INSTANCES, 60_000, 0);

        assertThat(readers.readers(mNow)).hasSize(3);
        assertThat(readers.anyOtherHasReadRecently(mNow)).isFalse();
    }

    /** A reader that keeps reporting and no longer reads must not hide that nobody reads. */
    @Test
    void aReportIsNoProgressIfItsReadIsOld() {
        StoreReaders readers = instance(3, 0, INSTANCES, 100);
        assertThat(readers.anyOtherHasReadRecently(mNow)).isTrue();

        advance(1000);
        hear(readers, 0, INSTANCES, 1100, 0);
        assertThat(readers.anyOtherHasReadRecently(mNow)).isTrue();
        advance(200);
        assertThat(readers.anyOtherHasReadRecently(mNow)).isFalse();
    }

    /** Gateways that merely check the store now and then must not hide the loss of the readers. */
    @Test
    void aReadOfAnotherGatewayIsNoProgressOfAReader() {
        StoreReaders readers = instance(3, 0, INSTANCES, 2000);
        Set<String> chosen = readers.readers(mNow);
        for (int i = 0; i < INSTANCES; i++) {
            if (!chosen.contains("g" + i)) {
                hear(readers, i, i + 1, 100, 0);
            }
        }

        assertThat(readers.anyOtherHasReadRecently(mNow)).isFalse();
    }

    /** A reader whose call has not failed yet must not hide the failures that others saw. */
    @Test
    void failedCallsOfAllInstancesThatAreHeardCount() {
        StoreReaders readers = instance(3, 0, INSTANCES, 100);
        assertThat(readers.failedCalls(mNow)).isEqualTo(0);

        hear(readers, 7, 8, 900, 2);
        readers.storeCallFailed();
        assertThat(readers.failedCalls(mNow)).isEqualTo(3);

        readers.storeRead(mNow);
        assertThat(readers.failedCalls(mNow)).isEqualTo(2);
        advance(1600);
        assertThat(readers.failedCalls(mNow)).isEqualTo(0);
    }

    @Test
    void theOwnReportTellsTheAgeOfTheOwnReadOnly() {
        StoreReaders readers = new StoreReaders("g0", "a", TIMING);
        hear(readers, 1, INSTANCES, 10, 0);
        assertThat(readers.report(false, mNow).sinceRead()).isEmpty();

        readers.storeRead(mNow);
        advance(700);
        hear(readers, 1, INSTANCES, 10, 0);
        assertThat(readers.report(false, mNow)).isEqualTo(read("a", 700, 0));
    }
}
