package org.tanagergap.entry.agent;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.protocol.v1.RankLoad;

/** Guards against hints that end routing with an exception or attract every request. */
class HintReaderFuzzTests {

    private static final byte[] HINT =
            Hint.newBuilder()
                    .setMemoryTokensTotal(400_000)
                    .setMemoryTokensFree(300_000)
                    .setPrefillTokensQueued(7)
                    .addPrefillTokensByBand(1)
                    .addPrefillTokensByBand(2)
                    .addPrefillTokensByBand(4)
                    .setPrefillTokensPerSecond(1e4)
                    .setLoadReportAgeMs(80)
                    .setPrefixRevision(3)
                    .addPrefixHashes("p")
                    .addRanks(RankLoad.newBuilder().setRank("r").setQueued(2).setQueuedTokens(9))
                    .build()
                    .toByteArray();

    private final HintReader mReader = new HintReader();

    @Property(seed = "3501", tries = 5_000)
    void aMutatedHintHasOnlyNumbersWithinRange(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = HINT.clone();
        for (int i = random.nextInt(5); i >= 0; i--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        LoadHint hint;
        try {
            hint = mReader.read("a", Hint.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            return;
        }
        assertThat(hint.loadReportAge().toNanos()).isAtLeast(0);
        assertThat(hint.memoryTokensTotal()).isAtLeast(0);
        assertThat(hint.memoryTokensFree()).isAtLeast(0);
        assertThat(hint.prefillBacklog().upTo(LengthBand.LONG)).isAtLeast(0);
        assertThat(hint.prefillTokensPerSecond()).isAtLeast(0);
        assertThat(hint.prefillTokensPerSecond()).isFinite();
        hint.ranks().values().forEach(rank -> assertThat(rank.queued()).isAtLeast(0));
    }
}
