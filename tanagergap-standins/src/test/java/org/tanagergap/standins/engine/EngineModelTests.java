package org.tanagergap.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.testing.PausedClock;

class EngineModelTests {

    private final PausedClock mClock = new PausedClock();
    private final List<StandInCacheEvent> mCacheEvents = new ArrayList<>();
    private final EngineModel mEngine =
            new EngineModel(mClock, EngineSettings.of("m1", 10_000), mCacheEvents::add);

    @Test
    void generatesEveryTokenInOrderAndFreesItsMemory() {
        Recorder recorder = new Recorder();
        mEngine.submit(request("a", 1_000, 5, 0, 0), recorder);

        mClock.advance(Duration.ofSeconds(2));

        assertThat(recorder.mIndexes).containsExactly(0L, 1L, 2L, 3L, 4L).inOrder();
        assertThat(recorder.mFinished).isEqualTo(Optional.of("length"));
        assertThat(mEngine.load().memoryTokensUsed()).isEqualTo(0);
    }

    @Test
    void continuesWithTheSameTextWhenResumedElsewhere() {
        Recorder whole = new Recorder();
        mEngine.submit(request("a", 1_000, 6, 0, 0), whole);
        mClock.advance(Duration.ofSeconds(2));
        Recorder resumed = new Recorder();
        EngineModel other = new EngineModel(mClock, EngineSettings.of("m1", 9_000), e -> {});
        other.submit(request("b", 1_000, 6, 0, 4), resumed);

        mClock.advance(Duration.ofSeconds(2));

        assertThat(resumed.mTexts).containsExactlyElementsIn(whole.mTexts.subList(4, 6)).inOrder();
    }

    @Test
    void freesMemoryOfACancelledRunExactlyOnce() {
        mEngine.submit(request("a", 1_000, 500, 0, 0), new Recorder());
        mClock.advance(Duration.ofMillis(200));

        assertThat(mEngine.cancel("a")).isTrue();
        assertThat(mEngine.cancel("a")).isFalse();

        mClock.advance(Duration.ofSeconds(1));
        assertThat(mEngine.load().memoryTokensUsed()).isEqualTo(0);
        assertThat(mEngine.runs()).isEmpty();
    }

    /** Guards against planning a prompt twice, which makes it generate two tokens per step. */
    @Test
    void aRunSubmittedByAnObserverDoesNotDisturbTheStepUnderWay() {
        List<Long> times = new ArrayList<>();
        RunObserver submitsAnother =
                new Recorder() {
                    @Override
                    public void onFinished(String finishReason, RunUsage usage) {
                        mEngine.submit(request("next", 10, 1, 0, 0), new Recorder());
                    }
                };
        mEngine.submit(request("first", 10, 2, 0, 0), submitsAnother);
        mClock.advance(Duration.ofMillis(1));
        RunObserver timed =
                new Recorder() {
                    @Override
                    public void onToken(long index, String text) {
                        times.add(mClock.nanoTime());
                    }
                };
        mEngine.submit(request("other", 500, 5, 0, 0), timed);

        mClock.advance(Duration.ofSeconds(1));

        assertThat(times).hasSize(5);
        assertThat(times).containsNoDuplicates();
    }

    @Nested
    class Priorities {

        @Test
        void letShortPromptsOvertakeALongPrefill() {
            Recorder longRun = new Recorder();
            Recorder shortRun = new Recorder();
            mEngine.submit(request("long", 8_000, 1, 10, 0), longRun);
            mClock.advance(Duration.ofMillis(60));
            mEngine.submit(request("short", 500, 1, 0, 0), shortRun);

            mClock.advance(Duration.ofMillis(150));

            assertThat(shortRun.mFinished).isPresent();
            assertThat(longRun.mFinished).isEmpty();
        }
    }

    @Nested
    class Cache {

        @Test
        void sharesNoBlocksBetweenSalts() {
            PrefixCache cache = new PrefixCache(mCacheEvents::add);
            cache.store("workspace-a", List.of(1L, 2L));

            assertThat(cache.lookup("workspace-a", List.of(1L, 2L, 3L))).isEqualTo(512);
            assertThat(cache.lookup("workspace-b", List.of(1L, 2L, 3L))).isEqualTo(0);
        }

        @Test
        void evictsTheLeastRecentlyUsedBlocksFirst() {
            PrefixCache cache = new PrefixCache(mCacheEvents::add);
            cache.store("s", List.of(1L, 2L, 3L));
            cache.lookup("s", List.of(1L));

            cache.shrinkTo(256);

            assertThat(cache.lookup("s", List.of(1L))).isEqualTo(256);
            assertThat(cache.tokens()).isEqualTo(256);
        }
    }

    @Nested
    class Segments {

        @Test
        void holdTheirMemoryUntilReleased() {
            Recorder recorder = new Recorder();
            mEngine.submit(segment("s1", 4_000), recorder);
            mClock.advance(Duration.ofSeconds(1));

            assertThat(recorder.mFinished).isEqualTo(Optional.of("held"));
            assertThat(mEngine.load().memoryTokensUsed()).isEqualTo(4_000);
            assertThat(mEngine.releaseSegment("h-s1")).isTrue();
            assertThat(mEngine.releaseSegment("h-s1")).isFalse();
            assertThat(mEngine.load().memoryTokensUsed()).isEqualTo(0);
        }

        /**
         * Guards against leaked memory after a restart of the agent: the new agent finds the
         * request in the list of runs, which does not contain the handle.
         */
        @Test
        void areReleasedWhenTheirRequestIsCancelled() {
            mEngine.submit(segment("s1", 4_000), new Recorder());
            mClock.advance(Duration.ofSeconds(1));

            assertThat(mEngine.cancel("s1")).isTrue();
            assertThat(mEngine.cancel("s1")).isFalse();

            assertThat(mEngine.load().memoryTokensUsed()).isEqualTo(0);
        }
    }

    private static EngineRequest request(
            String id, long promptTokens, long maxTokens, int priority, long resumeFrom) {
        return new EngineRequest(
                id,
                promptTokens,
                42,
                maxTokens,
                priority,
                "s",
                List.of(),
                resumeFrom,
                0,
                Optional.empty());
    }

    private static EngineRequest segment(String id, long tokens) {
        return new EngineRequest(
                id, tokens, 42, 0, 0, "s", List.of(), 0, 0, Optional.of("h-" + id));
    }

    private static class Recorder implements RunObserver {

        private final List<Long> mIndexes = new ArrayList<>();
        private final List<String> mTexts = new ArrayList<>();
        private Optional<String> mFinished = Optional.empty();

        @Override
        public void onToken(long index, String text) {
            mIndexes.add(index);
            mTexts.add(text);
        }

        @Override
        public void onFinished(String finishReason, RunUsage usage) {
            mFinished = Optional.of(finishReason);
        }

        @Override
        public void onCancelled() {}
    }
}
