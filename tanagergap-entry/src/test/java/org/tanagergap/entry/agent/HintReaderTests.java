package org.tanagergap.entry.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.protocol.v1.RankLoad;

/** Guards against prefix hashes that are lost, or kept from an earlier state of the agent. */
class HintReaderTests {

    private final HintReader mReader = new HintReader();

    @Test
    void hashesAreKeptWhileTheRevisionStays() {
        assertThat(mReader.knownPrefixRevision("a")).isEqualTo(0);
        assertThat(read("a", 7, "p", "q")).containsExactly("p", "q");
        assertThat(mReader.knownPrefixRevision("a")).isEqualTo(7);
        assertThat(read("a", 7)).containsExactly("p", "q");
        assertThat(read("b", 7)).isEmpty();
    }

    @Test
    void anotherRevisionReplacesTheHashes() {
        read("a", 7, "p");
        assertThat(read("a", 8)).isEmpty();
        // The hashes of revision 8 may have been omitted, so the agent must send them again.
        assertThat(mReader.knownPrefixRevision("a")).isEqualTo(0);
        assertThat(read("a", 3, "r")).containsExactly("r");
        assertThat(mReader.knownPrefixRevision("a")).isEqualTo(3);
    }

    @Test
    void hashesWithoutARevisionAreNeverKept() {
        assertThat(read("a", 0, "p")).containsExactly("p");
        assertThat(read("a", 0)).isEmpty();
    }

    @Test
    void removedAgentsAreDropped() {
        read("a", 7, "p");
        mReader.retain(List.of("b"));
        assertThat(mReader.knownPrefixRevision("a")).isEqualTo(0);
    }

    /** Routing adds and converts these numbers for every request of the service. */
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, Long.MIN_VALUE, -1})
    void numbersOutOfRangeAreLimited(long number) {
        Hint.Builder hint =
                Hint.newBuilder()
                        .setMemoryTokensTotal(number)
                        .setMemoryTokensFree(number)
                        .setPrefillTokensQueued(number)
                        .setLoadReportAgeMs(number)
                        .setPrefillTokensPerSecond(Double.POSITIVE_INFINITY)
                        .addRanks(
                                RankLoad.newBuilder()
                                        .setRank("r")
                                        .setQueued(-1)
                                        .setQueuedTokens(number));
        for (int i = 0; i < LengthBand.values().length; i++) {
            hint.addPrefillTokensByBand(number);
        }

        LoadHint read = mReader.read("a", hint.build());

        assertThat(read.loadReportAge().toNanos()).isAtLeast(0);
        assertThat(read.memoryTokensTotal()).isAtLeast(0);
        assertThat(read.memoryTokensFree()).isAtLeast(0);
        for (LengthBand band : LengthBand.values()) {
            assertThat(read.prefillBacklog().upTo(band)).isAtLeast(0);
        }
        assertThat(read.prefillTokensPerSecond()).isEqualTo(0);
        assertThat(read.ranks().get("r").queued()).isEqualTo(0);
        assertThat(read.ranks().get("r").queuedTokens()).isAtLeast(0);
    }

    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, -1, Double.NEGATIVE_INFINITY, 1e300})
    void aRateOutOfRangeCountsAsNotMeasured(double rate) {
        Hint hint = Hint.newBuilder().setPrefillTokensPerSecond(rate).build();
        assertThat(mReader.read("a", hint).prefillTokensPerSecond()).isEqualTo(0);
    }

    private Set<String> read(String agent, long revision, String... hashes) {
        Hint hint =
                Hint.newBuilder()
                        .setPrefixRevision(revision)
                        .addAllPrefixHashes(List.of(hashes))
                        .build();
        return mReader.read(agent, hint).prefixHashes();
    }
}
