package org.tanagergap.runtime.log;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** Logs each malformed item once, although a list that contains it is read again and again. */
public final class MalformedItemLog {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Bounds the memory when another writer leaves malformed items under ever new names. */
    private static final int MAX_ITEMS = 256;

    private static final int MAX_TEXT_CHARS = 200;

    private final String mSource;
    private final Map<String, String> mReasons = new HashMap<>();
    private boolean mFull;

    /**
     * Creates a log.
     *
     * @param source what the items belong to, for example {@code instance list}
     */
    public MalformedItemLog(String source) {
        mSource = Objects.requireNonNull(source, "source must not be null");
    }

    /** Logs that the item is skipped; returns false if it was logged before for this reason. */
    public synchronized boolean skipped(String item, String reason) {
        String boundedItem = bounded(item);
        String boundedReason = bounded(reason);
        if (!mReasons.containsKey(boundedItem) && mReasons.size() >= MAX_ITEMS) {
            if (!mFull) {
                mFull = true;
                sLogger.atWarning().log(
                        "further malformed items of the %s are skipped without a line", mSource);
            }
            return false;
        }
        if (boundedReason.equals(mReasons.put(boundedItem, boundedReason))) {
            return false;
        }
        sLogger.atWarning().log(
                "skipping malformed item \"%s\" of the %s: %s",
                boundedItem, mSource, boundedReason);
        return true;
    }

    /** Returns the text without control characters and with a limited length. */
    private static String bounded(String text) {
        String start = text.length() > MAX_TEXT_CHARS ? text.substring(0, MAX_TEXT_CHARS) : text;
        String printable = start.replaceAll("\\p{Cntrl}", " ");
        return text.length() > MAX_TEXT_CHARS ? printable + "..." : printable;
    }
}
