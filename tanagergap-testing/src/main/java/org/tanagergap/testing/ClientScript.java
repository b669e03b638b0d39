package org.tanagergap.testing;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * What a client of a {@link ClientCrowd} sends on its connection.
 *
 * @param start bytes that it sends first, such as the head of a request
 * @param block bytes that follow, again and again
 * @param blockBytes number of bytes of the repeated blocks; the last block may be cut
 * @param leaves whether it closes the connection after the last byte; otherwise it stays open
 * @param reads whether it reads what it receives
 */
public record ClientScript(
        byte[] start, byte[] block, long blockBytes, boolean leaves, boolean reads) {

    private static final byte[] NOTHING = {};

    public ClientScript {
        Objects.requireNonNull(start, "start must not be null");
        Objects.requireNonNull(block, "block must not be null");
        if (blockBytes > 0 && block.length == 0) {
            throw new IllegalArgumentException("block must not be empty");
        }
    }

    /** Returns a script that sends the text and stays open. */
    public static ClientScript of(String text) {
        return of(bytes(text));
    }

    /** Returns a script that sends the bytes and stays open. */
    public static ClientScript of(byte[] bytes) {
        return new ClientScript(bytes, NOTHING, 0, false, true);
    }

    /**
     * Returns a script of a short request; of each twelve, eight are unfinished and three leave
     * early.
     *
     * @param head head of the request without its end
     */
    public static ClientScript shortRequest(String head, int client) {
        String unfinished = head + "Content-Length: 20\r\n\r\n0123456789";
        String request =
                switch (client % 3) {
                    case 0 -> unfinished + "0123456789";
                    case 1 -> unfinished;
                    default -> head;
                };
        ClientScript script = of(request);
        return client % 4 == 0 ? script.thenLeave() : script;
    }

    /** Returns a script that sends this one's bytes and then the text again and again. */
    public ClientScript thenRepeat(String text, long bytes) {
        return new ClientScript(start, bytes(text), bytes, leaves, reads);
    }

    /** Returns a script that sends the same bytes and closes the connection. */
    public ClientScript thenLeave() {
        return new ClientScript(start, block, blockBytes, true, reads);
    }

    /** Returns a script that sends the same bytes and reads nothing. */
    public ClientScript thenReadNothing() {
        return new ClientScript(start, block, blockBytes, leaves, false);
    }

    /** Number of bytes to send. */
    long length() {
        return start.length + blockBytes;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
