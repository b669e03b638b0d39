package org.tanagergap.state.configuration;

import java.time.Duration;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Guards against versions that decrease or repeat, and against results of submissions that do not
 * match what was stored, under lost and delayed calls, outages, pauses and crashes.
 */
class KeyValueConfigurationStoreFuzzTests {

    @Property(seed = "5150", tries = 500, shrinking = ShrinkingMode.BOUNDED)
    void reportsTheActualOutcomeOfEachSubmission(
            @ForAll("chains") ActionChain<ConfigurationStoreModel> c) {
        c.withInvariant(ConfigurationStoreModel::checkInvariant).run().checkRecovery();
    }

    @Provide
    Arbitrary<ActionChain<ConfigurationStoreModel>> chains() {
        return ActionChain.<ConfigurationStoreModel>startWith(ConfigurationStoreModel::new)
                .withAction(10, onOperator("submit", ConfigurationStoreModel::submit))
                .withAction(
                        2, onOperator("request outcome", ConfigurationStoreModel::requestOutcome))
                .withAction(8, advance(1, 60))
                .withAction(3, advance(400, 6_000))
                .withAction(2, onOperator("pause", ConfigurationStoreModel::pause))
                .withAction(4, onOperator("resume", ConfigurationStoreModel::resume))
                .withAction(1, onOperator("crash", ConfigurationStoreModel::crash))
                .withAction(2, numbered("lose replies", 1, 4, (m, n) -> m.store().loseReplies(n)))
                .withAction(2, numbered("lose requests", 1, 4, (m, n) -> m.store().loseRequests(n)))
                .withAction(2, numbered("delay calls", 1, 4, (m, n) -> m.store().delayRequests(n)))
                .withAction(2, numbered("outage", 0, 1, (m, n) -> m.store().outage(n == 1)))
                .withAction(1, Action.just("stall watches", stallWatches()))
                .withMaxTransformations(60);
    }

    private static Transformer<ConfigurationStoreModel> stallWatches() {
        return Transformer.mutate("stall watches", m -> m.store().stallWatches());
    }

    private static Action.Independent<ConfigurationStoreModel> advance(int min, int max) {
        return numbered("advance", min, max, (m, millis) -> m.advance(Duration.ofMillis(millis)));
    }

    private static Action.Independent<ConfigurationStoreModel> onOperator(
            String name, BiConsumer<ConfigurationStoreModel, Integer> action) {
        return numbered(name, 0, ConfigurationStoreModel.OPERATORS - 1, action);
    }

    private static Action.Independent<ConfigurationStoreModel> numbered(
            String name, int min, int max, BiConsumer<ConfigurationStoreModel, Integer> action) {
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
