package org.tanagergap.gateway.forward;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Splits the bytes of an event stream into events; an event ends with a blank line. */
final class EventSplitter {

    private static final int MAX_EVENT_BYTES = 256 << 10;
    private static final String ID_FIELD = "id:";

    private final Consumer<StreamEvent> mConsumer;
    private Buffer mPending = Buffer.buffer();
    private int mScanned;

    EventSplitter(Consumer<StreamEvent> consumer) {
        mConsumer = consumer;
    }

    /**
     * Appends bytes and emits each event that they complete.
     *
     * @return the reason why the bytes are not an event stream; empty if they may be
     */
    Optional<String> add(Buffer bytes) {
        mPending.appendBuffer(bytes);
        int start = 0;
        int end = eventEnd(mScanned);
        while (end >= 0) {
            Buffer event = mPending.getBuffer(start, end);
            start = end;
            String text = event.toString(StandardCharsets.UTF_8);
            if (!hasOnlyFields(text)) {
                return Optional.of("line without a field name in an event");
            }
            mConsumer.accept(new StreamEvent(id(text), event));
            end = eventEnd(start);
        }
        if (start > 0) {
            mPending = mPending.getBuffer(start, mPending.length());
        }
        // The last two bytes may be the first part of the blank line.
        mScanned = Math.max(0, mPending.length() - 2);
        return mPending.length() > MAX_EVENT_BYTES
                ? Optional.of("event exceeds " + MAX_EVENT_BYTES + " bytes")
                : Optional.empty();
    }

    /** Returns true if the event has a line and each has a field name or is a comment. */
    private static boolean hasOnlyFields(String event) {
        String lines = event.strip();
        return !lines.isEmpty() && lines.lines().allMatch(line -> line.indexOf(':') >= 0);
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

    private static OptionalLong id(String event) {
        for (String line : event.split("\r?\n")) {
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
