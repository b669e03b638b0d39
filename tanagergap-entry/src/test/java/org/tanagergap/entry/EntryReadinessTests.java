package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.routing.RouterSettings;
import org.tanagergap.decisions.routing.SubsetRequestRouter;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.testing.PausedClock;

/** Guards callers against refusals by an entry that has not reached an agent yet. */
final class EntryReadinessTests {

    private final PausedClock mClock = new PausedClock();
    private final SubsetRequestRouter mRouter =
            new SubsetRequestRouter(mClock, RouterSettings.defaults("north"), new Random(1));
    private boolean mConfigured;
    private final EntryReadiness mReadiness =
            new EntryReadiness(mClock, () -> mConfigured, mRouter);

    private void configure() {
        mConfigured = true;
        mRouter.replaceAgents(
                List.of(
                        new AgentEndpoint("a", "assistant", "127.0.0.1:1", "north"),
                        new AgentEndpoint("b", "assistant", "127.0.0.1:2", "north"),
                        new AgentEndpoint("c", "orders", "127.0.0.1:3", "north")));
    }

    private void answered(String agent) {
        LoadHint hint =
                new LoadHint(
                        100,
                        100,
                        PrefillBacklog.EMPTY,
                        0,
                        Map.of(),
                        false,
                        true,
                        Duration.ZERO,
                        Set.of(),
                        1);
        mRouter.hintReceived(agent, hint);
    }

    @Test
    void anEntryIsReadyWhenAnAgentOfEachServiceHasAnswered() {
        assertThat(mReadiness.isReady()).isFalse();
        configure();
        answered("a");
        assertThat(mReadiness.isReady()).isFalse();

        answered("c");

        assertThat(mReadiness.isReady()).isTrue();
    }

    @Test
    void aServiceWithoutReachableAgentsDelaysTheOthersOnlyForSomeTime() {
        configure();
        answered("a");
        assertThat(mReadiness.isReady()).isFalse();

        mClock.advance(EntryReadiness.MAX_WAIT_FOR_AGENTS);

        assertThat(mReadiness.isReady()).isTrue();
    }

    @Test
    void theLossOfAllAgentsDoesNotMakeAnEntryUnready() {
        configure();
        answered("a");
        answered("c");
        assertThat(mReadiness.isReady()).isTrue();

        mRouter.replaceAgents(List.of());

        assertThat(mReadiness.isReady()).isTrue();
    }
}
