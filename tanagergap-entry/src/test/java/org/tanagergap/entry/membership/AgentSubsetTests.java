package org.tanagergap.entry.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.tanagergap.decisions.routing.AgentEndpoint;

final class AgentSubsetTests {

    /**
     * Guards against an agent outside every subset, which would receive no requests and no
     * configuration.
     */
    @Property(tries = 50)
    void everyAgentHasTwoResponsibleEntries(
            @ForAll @IntRange(min = 13, max = 60) int agentCount,
            @ForAll @IntRange(min = 2, max = 20) int entryCount) {
        List<AgentEndpoint> agents =
                IntStream.range(0, agentCount)
                        .mapToObj(i -> new AgentEndpoint("a" + i, "lids", "h:1", "north"))
                        .toList();
        Set<String> entries =
                IntStream.range(0, entryCount).mapToObj(i -> "e" + i).collect(Collectors.toSet());
        long responsible =
                entries.stream().mapToLong(e -> AgentSubset.of(e, entries, agents).size()).sum();
        assertThat(responsible).isEqualTo(2L * agentCount);
        assertThat(AgentSubset.of("unlisted", entries, agents)).isEqualTo(agents);
    }
}
