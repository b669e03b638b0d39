package org.tanagergap.gateway.membership;

/** What is asked before an upstream is dropped whose entry may have expired in an outage. */
public interface ExpiryCheck {

    /** Returns true while the store serves nobody, so that no entry can return. */
    boolean isOutage();

    /** Reads from the store, so that entries that have returned are known. */
    void refresh();

    /** Check of a view that is not kept up to date by a store. */
    static ExpiryCheck none() {
        return new ExpiryCheck() {
            @Override
            public boolean isOutage() {
                return false;
            }

            @Override
            public void refresh() {}
        };
    }
}
