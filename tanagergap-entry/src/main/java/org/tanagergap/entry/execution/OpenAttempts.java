package org.tanagergap.entry.execution;

import java.util.HashSet;
import java.util.Set;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.decisions.stall.AttemptRace;

/** Open attempts of one request. Confined to the event loop of the request. */
final class OpenAttempts {

    private final AttemptRace<AgentAttempt> mRace = new AttemptRace<>();

    void started(AgentAttempt attempt) {
        mRace.started(attempt);
    }

    void stalled(AgentAttempt attempt) {
        mRace.stalled(attempt);
    }

    /** Cancels all attempts but the one that has made progress. */
    void progressed(AgentAttempt attempt) {
        mRace.progressed(attempt).forEach(AgentAttempt::cancel);
    }

    void ended(AgentAttempt attempt) {
        mRace.ended(attempt);
    }

    void cancel() {
        for (AgentAttempt attempt : mRace.open()) {
            mRace.ended(attempt);
            attempt.cancel();
        }
    }

    void pause() {
        mRace.open().forEach(AgentAttempt::pause);
    }

    void resume() {
        mRace.open().forEach(AgentAttempt::resume);
    }

    boolean isEmpty() {
        return mRace.open().isEmpty();
    }

    /** Returns true if attempts are open and nothing arrives on any of them. */
    boolean allStalled() {
        return mRace.allStalled();
    }

    /** Returns the names of the agents of the attempts, together with the given ones. */
    Set<String> agentsAnd(Set<String> others) {
        Set<String> agents = new HashSet<>(others);
        mRace.open().forEach(attempt -> agents.add(attempt.agent().name()));
        return agents;
    }

    /** Returns what is certain about the execution of the attempts together. */
    Execution execution() {
        Execution execution = Execution.NOT_RUN;
        for (AgentAttempt attempt : mRace.open()) {
            execution = strongest(execution, attempt.execution());
        }
        return execution;
    }

    /** Returns the status that says more about whether a request has run. */
    static Execution strongest(Execution first, Execution second) {
        return first == Execution.RAN || second == Execution.NOT_RUN ? first : second;
    }
}
