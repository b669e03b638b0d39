package org.tanagergap.entry.execution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.spanning.SpanningPromptCandidate;

/** Agents of a service that can take a part of a spanning prompt, as their last hints say. */
final class SpanningPromptAgents {

    private final ExecutorContext mContext;
    private final String mService;
    private Map<String, AgentEndpoint> mAgents = Map.of();

    SpanningPromptAgents(ExecutorContext context, String service) {
        mContext = context;
        mService = service;
    }

    /** Returns the agents with their memory; they stay known until the next call. */
    List<SpanningPromptCandidate> candidates() {
        mAgents = new HashMap<>();
        List<SpanningPromptCandidate> candidates = new ArrayList<>();
        for (AgentEndpoint agent : mContext.router().spanningCandidates(mService)) {
            Optional<LoadHint> hint = mContext.router().hint(agent.name());
            if (hint.isPresent()) {
                mAgents.put(agent.name(), agent);
                candidates.add(
                        new SpanningPromptCandidate(
                                agent.name(),
                                hint.get().memoryTokensTotal(),
                                hint.get().memoryTokensFree()));
            }
        }
        return candidates;
    }

    /** A prompt is not refused while a restarting or unreachable agent may add its memory. */
    boolean allHaveHints() {
        return mContext.router().agents().stream()
                .filter(agent -> agent.service().equals(mService))
                .allMatch(agent -> mAgents.containsKey(agent.name()));
    }

    /** Returns one of the last candidates. */
    AgentEndpoint agent(String name) {
        return mAgents.get(name);
    }
}
