package org.tanagergap.entry.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.Hint;

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

    private Set<String> read(String agent, long revision, String... hashes) {
        Hint hint =
                Hint.newBuilder()
                        .setPrefixRevision(revision)
                        .addAllPrefixHashes(List.of(hashes))
                        .build();
        return mReader.read(agent, hint).prefixHashes();
    }
}
