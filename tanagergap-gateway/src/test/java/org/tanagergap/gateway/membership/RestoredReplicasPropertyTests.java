package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.replication.ReplicaUpdate;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;

/** Plays a store that is written and restored while replicas read it and each other. */
final class RestoredReplicasPropertyTests {

    private static final int REPLICAS = 3;
    private static final int KEYS = 5;

    /** Store with the changes of its present history; deleted keys have an empty value. */
    private static final class Store {
        private final List<KeyValue> mChanges = new ArrayList<>();
        private long mEpoch = 1;
        private int mValues;

        StorePosition position() {
            return new StorePosition(mEpoch, mChanges.size());
        }

        void write(Random random) {
            String value = random.nextInt(4) == 0 ? "" : "v" + mValues++;
            String key = "a/" + random.nextInt(KEYS);
            mChanges.add(new KeyValue(key, value, mChanges.size() + 1, 1));
        }

        void restore(int revision) {
            mEpoch++;
            mChanges.subList(Math.min(revision, mChanges.size()), mChanges.size()).clear();
        }

        Map<String, KeyValue> contents() {
            Map<String, KeyValue> contents = new HashMap<>();
            mChanges.forEach(item -> contents.put(item.key(), item));
            contents.values().removeIf(item -> item.value().isEmpty());
            return contents;
        }

        Changes changesAfter(long revision) {
            int from = (int) Math.min(revision, mChanges.size());
            return new Changes(mChanges.subList(from, mChanges.size()), position(), true);
        }
    }

    /** Replica that follows the decisions as the synchronization does. */
    private static final class Reader {
        private final Map<String, String> mSeen = new HashMap<>();
        private final StoreReplica mReplica =
                new StoreReplica(List.of("a/"), item -> mSeen.put(item.key(), item.value()));

        void accept(
                ReplicaUpdate update, List<KeyValue> items, StorePosition position, Store store) {
            switch (update) {
                case APPLY -> mReplica.apply(new Changes(items, position, true));
                case REPLACE -> mReplica.replace(items, position);
                case READ_ALL -> readAll(store);
                case IGNORE -> {
                    // Nothing to do.
                }
            }
        }

        void readAll(Store store) {
            mReplica.replace(List.copyOf(store.contents().values()), store.position());
        }

        Map<String, String> present() {
            Map<String, String> present = new HashMap<>(mSeen);
            present.values().removeIf(String::isEmpty);
            return present;
        }
    }

    /**
     * Guards against values of a lost history that survive at one replica or come back by another.
     */
    @Property(tries = 1000, seed = "2213")
    void replicasAgreeWithTheStoreAfterItWasRestored(
            @ForAll long seed, @ForAll @IntRange(min = 5, max = 120) int steps) {
        Random random = new Random(seed);
        Store store = new Store();
        List<Reader> readers = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            Reader reader = new Reader();
            reader.readAll(store);
            readers.add(reader);
        }
        List<Runnable> late = new ArrayList<>();

        for (int i = 0; i < steps; i++) {
            step(store, readers, random, late);
        }
        late.forEach(Runnable::run);
        readers.forEach(reader -> poll(store, reader).run());

        Map<String, String> expected = new HashMap<>();
        store.contents().forEach((key, item) -> expected.put(key, item.value()));
        for (Reader reader : readers) {
            assertThat(reader.present()).isEqualTo(expected);
        }
    }

    private static void step(
            Store store, List<Reader> readers, Random random, List<Runnable> late) {
        Reader reader = readers.get(random.nextInt(REPLICAS));
        Reader other = readers.get(random.nextInt(REPLICAS));
        switch (random.nextInt(8)) {
            case 0 -> store.restore(random.nextInt(30));
            case 1, 2 -> deliver(poll(store, reader), random, late);
            case 3 -> deliver(peer(store, reader, other), random, late);
            default -> store.write(random);
        }
    }

    private static void deliver(Runnable response, Random random, List<Runnable> late) {
        if (random.nextInt(3) == 0) {
            late.add(response);
        } else {
            response.run();
        }
    }

    private static Runnable poll(Store store, Reader reader) {
        StorePosition requested = reader.mReplica.position();
        Changes changes = store.changesAfter(requested.revision());
        return () ->
                reader.accept(
                        ReplicaUpdate.forChanges(
                                requested, reader.mReplica.position(), changes.position()),
                        changes.items(),
                        changes.position(),
                        store);
    }

    private static Runnable peer(Store store, Reader reader, Reader other) {
        StorePosition requested = reader.mReplica.position();
        PeerChanges changes = other.mReplica.changesAfter(requested);
        StorePosition position = changes.position();
        return () ->
                reader.accept(
                        changes.allItems()
                                ? ReplicaUpdate.forContents(
                                        reader.mReplica.position(), List.of(position))
                                : ReplicaUpdate.forChanges(
                                        requested, reader.mReplica.position(), position),
                        changes.items(),
                        position,
                        store);
    }
}
