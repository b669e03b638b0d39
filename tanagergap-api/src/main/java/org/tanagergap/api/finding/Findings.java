package org.tanagergap.api.finding;

import java.util.ArrayList;
import java.util.List;

/** Collects findings, so that all are reported together. Not thread-safe. */
public final class Findings {

    private final List<Finding> mFindings = new ArrayList<>();

    public void add(String location, String message) {
        mFindings.add(new Finding(location, message));
    }

    public boolean isEmpty() {
        return mFindings.isEmpty();
    }

    /** Returns the findings in the order in which they were added. */
    public List<Finding> toList() {
        return List.copyOf(mFindings);
    }

    /** Throws an {@link InvalidInputException} with all findings if there are any. */
    public void throwIfAny() {
        if (!mFindings.isEmpty()) {
            throw new InvalidInputException(mFindings);
        }
    }
}
