package org.tanagergap.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards the splitting of events against the boundaries of the packets that carry them. */
final class EventSplitterTests {

    private final List<StreamEvent> mEvents = new ArrayList<>();
    private final EventSplitter mSplitter = new EventSplitter(mEvents::add);

    @Test
    void anEventEndsWithABlankLine() {
        mSplitter.add(Buffer.buffer("id: 7\ndata: x\n\nid: 8\nda"));

        assertThat(mEvents).hasSize(1);
        assertThat(mEvents.get(0).id()).isEqualTo(OptionalLong.of(7));
        assertThat(mSplitter.hasPartialEvent()).isTrue();
    }

    @Test
    void linesMayEndWithCarriageReturns() {
        mSplitter.add(Buffer.buffer("id: 7\r\ndata: x\r\n\r\n"));

        assertThat(mEvents.get(0).id()).isEqualTo(OptionalLong.of(7));
        assertThat(mSplitter.hasPartialEvent()).isFalse();
    }

    @Test
    void anEventWithoutNumericIdHasNoId() {
        mSplitter.add(Buffer.buffer("data: x\n\nid: last\ndata: y\n\n"));

        assertThat(mEvents.get(0).id()).isEqualTo(OptionalLong.empty());
        assertThat(mEvents.get(1).id()).isEqualTo(OptionalLong.empty());
    }

    @Property(tries = 500)
    void theBoundariesOfPacketsDoNotMatter(
            @ForAll @IntRange(min = 1, max = 12) int events,
            @ForAll boolean carriageReturns,
            @ForAll long seed) {
        mEvents.clear();
        EventSplitter splitter = new EventSplitter(mEvents::add);
        String end = carriageReturns ? "\r\n" : "\n";
        StringBuilder text = new StringBuilder();
        for (int id = 1; id <= events; id++) {
            text.append("id: ").append(id).append(end).append("data: ").append("x".repeat(id % 5));
            text.append(end).append(end);
        }
        Random random = new Random(seed);
        int position = 0;
        while (position < text.length()) {
            int next = Math.min(text.length(), position + 1 + random.nextInt(9));
            splitter.add(Buffer.buffer(text.substring(position, next)));
            position = next;
        }

        assertThat(mEvents).hasSize(events);
        StringBuilder joined = new StringBuilder();
        mEvents.forEach(event -> joined.append(event.bytes()));
        assertThat(joined.toString()).isEqualTo(text.toString());
        assertThat(splitter.hasPartialEvent()).isFalse();
    }
}
