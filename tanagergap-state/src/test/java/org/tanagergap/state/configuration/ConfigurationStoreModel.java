package org.tanagergap.state.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.state.fake.FakeKeyValueStore;
import org.tanagergap.state.fake.SimulatedProcess;
import org.tanagergap.testing.PausedClock;

/** Model of operators that submit concurrently through a faulty store, with its test oracle. */
final class ConfigurationStoreModel {

    static final int OPERATORS = 3;

    private final PausedClock mClock = new PausedClock();
    private final FakeKeyValueStore mStore = new FakeKeyValueStore(mClock);
    private final List<Operator> mOperators = new ArrayList<>();
    private final List<StoredConfiguration> mAccepted = new ArrayList<>();
    private final List<Submission> mSubmissions = new ArrayList<>();
    private final List<Throwable> mFailures = new ArrayList<>();

    ConfigurationStoreModel() {
        mStore.observe(this::observe);
        for (int i = 0; i < OPERATORS; i++) {
            mOperators.add(newOperator());
        }
    }

    private record Operator(
            SimulatedProcess process,
            KeyValueConfigurationStore store,
            List<StoredConfiguration> seen) {}

    private static final class Submission {
        private final String mDocument;
        private final String mNonce;
        private final List<SubmitResult> mResults = new ArrayList<>();

        Submission(String document, String nonce) {
            mDocument = document;
            mNonce = nonce;
        }
    }

    FakeKeyValueStore store() {
        return mStore;
    }

    void advance(Duration duration) {
        mClock.advance(duration);
    }

    /** Submits a document based on the latest version that the operator has seen. */
    void submit(int operator) {
        Operator submitter = mOperators.get(operator);
        if (!submitter.process().running()) {
            return;
        }
        long base = submitter.seen().stream().mapToLong(c -> c.version()).max().orElse(0);
        Submission submission =
                new Submission("{\"d\":" + mSubmissions.size() + "}", "n" + mSubmissions.size());
        mSubmissions.add(submission);
        submitter
                .store()
                .submit(submission.mDocument, base, submission.mNonce)
                .whenComplete((result, failure) -> addResult(submission, result, failure));
    }

    /** Requests the outcome of the last submission, which may still be in flight. */
    void requestOutcome(int operator) {
        Operator requester = mOperators.get(operator);
        if (!mSubmissions.isEmpty() && requester.process().running()) {
            Submission last = mSubmissions.get(mSubmissions.size() - 1);
            requester.store().outcome(last.mNonce).whenComplete((r, f) -> addResult(last, r, f));
        }
    }

    void pause(int operator) {
        mOperators.get(operator).process().pause();
    }

    void resume(int operator) {
        mOperators.get(operator).process().resume();
    }

    void crash(int operator) {
        mOperators.get(operator).process().crash();
        mOperators.set(operator, newOperator());
    }

    void checkInvariant() {
        for (int i = 0; i < mAccepted.size(); i++) {
            assertWithMessage("versions increase by one")
                    .that(mAccepted.get(i).version())
                    .isEqualTo(i + 1);
        }
        for (Operator operator : mOperators) {
            assertThat(operator.seen())
                    .isInStrictOrder(
                            (a, b) ->
                                    Long.compare(
                                            ((StoredConfiguration) a).version(),
                                            ((StoredConfiguration) b).version()));
            assertThat(mAccepted).containsAtLeastElementsIn(operator.seen());
        }
        assertWithMessage("submit and outcome never fail").that(mFailures).isEmpty();
        for (Submission submission : mSubmissions) {
            submission.mResults.forEach(result -> checkResult(submission, result));
        }
    }

    /** After all faults end, watches are up to date within 4 s and all outcomes are resolved. */
    void checkRecovery() {
        mStore.clearFaults();
        mOperators.forEach(operator -> operator.process().resume());
        advance(Duration.ofSeconds(4));
        if (!mAccepted.isEmpty()) {
            StoredConfiguration last = mAccepted.get(mAccepted.size() - 1);
            for (Operator operator : mOperators) {
                assertThat(operator.seen()).contains(last);
            }
        }
        advance(Duration.ofSeconds(30));
        Map<String, SubmitResult> outcomes = new TreeMap<>();
        KeyValueConfigurationStore reader = newOperator().store();
        for (Submission submission : List.copyOf(mSubmissions)) {
            reader.outcome(submission.mNonce)
                    .thenAccept(result -> outcomes.put(submission.mNonce, result));
        }
        advance(Duration.ofSeconds(10));
        for (Submission submission : mSubmissions) {
            SubmitResult outcome = outcomes.get(submission.mNonce);
            assertThat(outcome).isNotNull();
            assertThat(outcome).isNotInstanceOf(SubmitResult.Unresolved.class);
            checkResult(submission, outcome);
        }
        checkInvariant();
    }

    private Operator newOperator() {
        SimulatedProcess process = new SimulatedProcess(mClock);
        KeyValueConfigurationStore store =
                new KeyValueConfigurationStore(mStore.connect(process), process);
        List<StoredConfiguration> seen = new ArrayList<>();
        store.watch().subscribe().with(seen::add);
        return new Operator(process, store, seen);
    }

    private void observe(KeyValue value) {
        if (value.key().equals(ConfigurationKeys.CURRENT)) {
            mAccepted.add(ConfigurationValues.parseCurrent(value.value()));
        }
    }

    /** Runs again after each step, as a delayed write must not contradict an earlier result. */
    private void checkResult(Submission submission, SubmitResult result) {
        List<Long> versions =
                mAccepted.stream()
                        .filter(c -> c.document().equals(submission.mDocument))
                        .map(StoredConfiguration::version)
                        .toList();
        if (result instanceof SubmitResult.Accepted accepted) {
            assertThat(versions).containsExactly(accepted.version());
        } else if (result instanceof SubmitResult.Conflict conflict) {
            assertThat(versions).isEmpty();
            assertThat(mAccepted).contains(conflict.current());
        } else if (result instanceof SubmitResult.Rejected) {
            assertThat(versions).isEmpty();
        }
    }

    private void addResult(Submission submission, SubmitResult result, Throwable failure) {
        if (failure != null) {
            mFailures.add(failure);
        } else {
            submission.mResults.add(result);
        }
    }
}
