package org.tanagergap.state.intent;

import java.time.Duration;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Guards against a key that is granted twice, a confirmed response that is not replayed, and a key
 * that stays unavailable after its release.
 */
class KeyValueIntentLogFuzzTests {

    @Property(seed = "7401", tries = 400, shrinking = ShrinkingMode.BOUNDED)
    void grantsNoKeyTwiceUnlessAbandoned(@ForAll("chains") ActionChain<IntentLogModel> chain) {
        run(chain);
    }

    @Property(seed = "90210", tries = 400, shrinking = ShrinkingMode.BOUNDED)
    void grantsNoKeyTwiceUnderASecondSeed(@ForAll("chains") ActionChain<IntentLogModel> chain) {
        run(chain);
    }

    private static void run(ActionChain<IntentLogModel> chain) {
        chain.withInvariant(IntentLogModel::checkInvariant).run().checkRecovery();
    }

    @Provide
    Arbitrary<ActionChain<IntentLogModel>> chains() {
        return ActionChain.<IntentLogModel>startWith(IntentLogModel::new)
                .withAction(12, begin())
                .withAction(4, onKey("record outcome", IntentLogModel::recordOutcome))
                .withAction(3, onKey("abandon", IntentLogModel::abandon))
                .withAction(10, advance("advance", 1, 120))
                .withAction(3, advance("advance", 500, 5_000))
                .withAction(1, advance("advance", 100_000, 700_000))
                .withAction(2, onWriter("pause", IntentLogModel::pause))
                .withAction(4, onWriter("resume", IntentLogModel::resume))
                .withAction(1, onWriter("crash", IntentLogModel::crash))
                .withAction(2, onCount("lose replies", (m, n) -> m.store().loseReplies(n)))
                .withAction(2, onCount("lose requests", (m, n) -> m.store().loseRequests(n)))
                .withAction(2, onCount("delay requests", (m, n) -> m.store().delayRequests(n)))
                .withAction(1, outage())
                .withMaxTransformations(80);
    }

    private static Action.Independent<IntentLogModel> begin() {
        return () ->
                Combinators.combine(
                                Arbitraries.integers().between(0, IntentLogModel.WRITERS - 1),
                                Arbitraries.integers().between(0, IntentLogModel.KEYS - 1),
                                Arbitraries.frequency(Tuple.of(9, "h0"), Tuple.of(1, "h1")))
                        .as(
                                (writer, key, hash) ->
                                        Transformer.mutate(
                                                "begin " + key + " at " + writer + " " + hash,
                                                m -> m.begin(writer, key, hash)));
    }

    private static Action.Independent<IntentLogModel> outage() {
        return () ->
                Arbitraries.of(true, false)
                        .map(on -> Transformer.mutate("outage " + on, m -> m.store().outage(on)));
    }

    private static Action.Independent<IntentLogModel> advance(String name, int min, int max) {
        return numbered(name, min, max, (m, millis) -> m.advance(Duration.ofMillis(millis)));
    }

    private static Action.Independent<IntentLogModel> onKey(
            String name, BiConsumer<IntentLogModel, Integer> action) {
        return numbered(name, 0, IntentLogModel.KEYS - 1, action);
    }

    private static Action.Independent<IntentLogModel> onWriter(
            String name, BiConsumer<IntentLogModel, Integer> action) {
        return numbered(name, 0, IntentLogModel.WRITERS - 1, action);
    }

    private static Action.Independent<IntentLogModel> onCount(
            String name, BiConsumer<IntentLogModel, Integer> action) {
        return numbered(name, 1, 4, action);
    }

    private static Action.Independent<IntentLogModel> numbered(
            String name, int min, int max, BiConsumer<IntentLogModel, Integer> action) {
        return () ->
                Arbitraries.integers()
                        .between(min, max)
                        .map(
                                number ->
                                        Transformer.mutate(
                                                name + " " + number,
                                                model -> action.accept(model, number)));
    }
}
