package org.tanagergap.entry.caller;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.tanagergap.api.request.RequestId;

/** Creates request identifiers that are unique across entries and their restarts. */
public final class RequestIds {

    private final String mEntryId;
    private final String mPrefix;
    private final AtomicLong mNext = new AtomicLong();

    public RequestIds(String entryId, RandomGenerator random) {
        Objects.requireNonNull(entryId, "entryId must not be null");
        mEntryId = entryId;
        mPrefix = entryId + "-" + Long.toHexString(random.nextLong()) + "-";
    }

    String entryId() {
        return mEntryId;
    }

    RequestId next() {
        return new RequestId(mPrefix + mNext.incrementAndGet());
    }
}
