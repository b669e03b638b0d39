package org.tanagergap.runtime.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against statuses that the HTTP decoder takes for others, in pieces of any size. */
final class StatusLineValidatorTests {

    private final EmbeddedChannel mChannel = new EmbeddedChannel(new StatusLineValidator());

    private void receiveByteByByte(String text) {
        for (byte value : text.getBytes(StandardCharsets.ISO_8859_1)) {
            mChannel.writeInbound(Unpooled.wrappedBuffer(new byte[] {value}));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 2000 no head\r\n",
                "\r\nHTTP/1.1 200\r\n",
                "HTTP/1.0 404 Not Found\n",
                "HTTP/1.1 103 Hints\r\nLink: 1\r\n\r\nHTTP/1.1 200 OK\r\n"
            })
    void threeDigitsAreAStatus(String text) {
        receiveByteByByte(text);

        assertThat(mChannel.inboundMessages()).hasSize(text.length());
        assertThat(mChannel.isOpen()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 0200 OK\r\n",
                "HTTP/1.1 +200 OK\r\n",
                "HTTP/1.1 20\r\n",
                "HTTP/1.1 2000\r\n",
                "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 0200 OK\r\n"
            })
    void otherStatusesCloseTheConnection(String text) {
        assertThrows(InvalidResponseException.class, () -> receiveByteByByte(text));

        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void nothingIsPassedOnAfterAnInvalidStatus() {
        assertThrows(InvalidResponseException.class, () -> receiveByteByByte("HTTP/1.1 20\r\n"));
        int passedOn = mChannel.inboundMessages().size();

        assertThat(passedOn).isEqualTo("HTTP/1.1 20\r".length());
    }
}
