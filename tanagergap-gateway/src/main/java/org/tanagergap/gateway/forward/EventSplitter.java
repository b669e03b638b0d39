package org.tanagergap.gateway.forward;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Splits the bytes of an event stream into events; an event ends with a blank line. */
final class EventSplitter {

    private static final String ID_FIELD = "id:";

    private final Consumer<StreamEvent> mConsumer;
    private Buffer mPending = Buffer.buffer();
    private int mScanned;

    EventSplitter(Consumer<StreamEvent> consumer) {
        mConsumer = consumer;
    }

    /** Appends bytes and emits each event that they complete. */
    void add(Buffer bytes) {
        mPending.appendBuffer(bytes);
        int start = 0;
        int end = eventEnd(mScanned);
        while (end >= 0) {
            Buffer event = mPending.getBuffer(start, end);
            start = end;
            mConsumer.accept(new StreamEvent(id(event), event));
            end = eventEnd(start);
        }
        if (start > 0) {
            mPending = mPending.getBuffer(start, mPending.length());
        }
        // The last two bytes may be the first part of the blank line.
        mScanned = Math.max(0, mPending.length() - 2);
    }

    /** Returns true if bytes of an incomplete event remain. */
    boolean hasPartialEvent() {
        return mPending.length() > 0;
    }

    /** Returns the position after the next blank line; negative if there is none. */
    private int eventEnd(int from) {
        for (int i = from; i < mPending.length(); i++) {
            if (mPending.getByte(i) != '\n') {
                continue;
            }
            int next = i + 1;
            if (next < mPending.length() && mPending.getByte(next) == '\r') {
                next++;
            }
            if (next < mPending.length() && mPending.getByte(next) == '\n') {
                return next + 1;
            }
        }
        return -1;
    }

    private static OptionalLong id(Buffer event) {
        String text = event.toString(StandardCharsets.UTF_8);
        for (String line : text.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return parse(line.substring(ID_FIELD.length()).trim());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parse(String value) {
        try {
            return OptionalLong.of(Long.parseLong(value));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
