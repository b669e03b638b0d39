package org.tanagergap.entry.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.state.configuration.StoredConfiguration;

final class ConfigurationViewTests {

    private final List<Long> mApplied = new ArrayList<>();
    private final ConfigurationView mView =
            new ConfigurationView(
                    (document, version) -> {
                        if (document.isEmpty()) {
                            throw new InvalidInputException(List.of(new Finding("/", "empty")));
                        }
                        return Configuration.EMPTY.withVersion(version);
                    });

    /** Guards against a peer or a stale watch that reverts an accepted configuration. */
    @Test
    void versionNeverDecreases() {
        mView.addListener(snapshot -> mApplied.add(snapshot.version()));
        for (long version : new long[] {3, 2, 3, 5, 4}) {
            mView.offer(new StoredConfiguration(version, "document"));
        }
        assertThat(mApplied).containsExactly(3L, 5L).inOrder();
        assertThat(mView.current().version()).isEqualTo(5);
    }

    /** Guards against an unreadable document that removes the configuration in effect. */
    @Test
    void invalidDocumentKeepsTheOneInEffect() {
        mView.offer(new StoredConfiguration(1, "document"));
        mView.offer(new StoredConfiguration(2, ""));
        assertThat(mView.current().version()).isEqualTo(1);
    }
}
