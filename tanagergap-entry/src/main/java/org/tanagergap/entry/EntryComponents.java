package org.tanagergap.entry;

import java.util.Objects;
import java.util.Optional;
import org.tanagergap.decisions.cost.TokenEstimator;
import org.tanagergap.decisions.retry.RetryBudget;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.entry.configuration.DocumentReader;
import org.tanagergap.platform.instances.InstanceList;
import org.tanagergap.state.configuration.ConfigurationStore;

/**
 * Components of an entry that differ between the program and tests.
 *
 * @param store configuration in the key-value store
 * @param instances instance list, if the platform has one
 * @param documents reads configuration documents
 * @param router chooses agents
 * @param retryBudget limits the share of retries
 * @param tokens estimates the length of prompts
 */
public record EntryComponents(
        ConfigurationStore store,
        Optional<InstanceList> instances,
        DocumentReader documents,
        RequestRouter router,
        RetryBudget retryBudget,
        TokenEstimator tokens) {
    public EntryComponents {
        Objects.requireNonNull(store, "store must not be null");
        Objects.requireNonNull(router, "router must not be null");
    }
}
