package org.tanagergap.gateway.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.RetryBudgetShare;
import org.tanagergap.gateway.RetryBudgetSettings;

/** Retry budget of each service. Confined to the event loop. */
public final class RetryBudgets {

    private final RuntimeClock mClock;
    private final RetryBudgetSettings mSettings;
    private final IntSupplier mInstances;
    private final Map<String, RetryBudgetShare> mShares = new HashMap<>();

    /**
     * Creates full budgets.
     *
     * @param instances number of instances that share the budgets
     */
    public RetryBudgets(RuntimeClock clock, RetryBudgetSettings settings, IntSupplier instances) {
        mClock = clock;
        mSettings = settings;
        mInstances = instances;
    }

    /** Records a request of a caller. */
    void request(String service) {
        budgetShare(service).recordRequest(mClock.nanoTime());
    }

    /**
     * Takes one retry from the budget.
     *
     * @return true if the budget allowed it
     */
    boolean trySpend(String service) {
        return budgetShare(service).trySpend(mInstances.getAsInt(), mClock.nanoTime());
    }

    private RetryBudgetShare budgetShare(String service) {
        return mShares.computeIfAbsent(
                service,
                ignored ->
                        new RetryBudgetShare(
                                mSettings.ratio(), mSettings.extra(), mSettings.window()));
    }
}
