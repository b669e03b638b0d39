package org.tanagergap.testing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Writes the bytes of HTTP/2 clients, without compression of header fields. Names and values of
 * fields must be shorter than 127 bytes.
 */
public final class Http2Frames {

    private static final String PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

    private static final int DATA = 0;
    private static final int HEADERS = 1;
    private static final int SETTINGS = 4;
    private static final int END_HEADERS = 4;
    private static final int END_STREAM = 1;

    /** Setting of the window of each stream, with the value 0. */
    private static final byte[] NO_WINDOW = {0, 4, 0, 0, 0, 0};

    /** Prefix of a field that is not added to the dynamic table and whose name is not indexed. */
    private static final int LITERAL = 0;

    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private int mLastStream = -1;

    /** Begins a connection. */
    public Http2Frames() {
        this(new byte[0]);
    }

    private Http2Frames(byte[] settings) {
        mBytes.writeBytes(PREFACE.getBytes(StandardCharsets.US_ASCII));
        frame(SETTINGS, 0, 0, settings);
    }

    /** Begins a connection on which the server may not send the bodies of responses. */
    public static Http2Frames withoutWindow() {
        return new Http2Frames(NO_WINDOW);
    }

    /** Begins a request on a new stream, whose body follows. */
    public Http2Frames request(HeaderBlock fields) {
        mLastStream += 2;
        frame(HEADERS, END_HEADERS, mLastStream, fields.mBytes.toByteArray());
        return this;
    }

    /** Adds a part of the body of the last request. */
    public Http2Frames data(byte[] bytes) {
        frame(DATA, 0, mLastStream, bytes);
        return this;
    }

    /** Adds the last part of the body of the last request. */
    public Http2Frames lastData(byte[] bytes) {
        frame(DATA, END_STREAM, mLastStream, bytes);
        return this;
    }

    public byte[] bytes() {
        return mBytes.toByteArray();
    }

    private void frame(int type, int flags, int stream, byte[] payload) {
        writeNumber(payload.length, 3);
        mBytes.write(type);
        mBytes.write(flags);
        writeNumber(stream, 4);
        mBytes.writeBytes(payload);
    }

    private void writeNumber(int value, int bytes) {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            mBytes.write(value >>> shift);
        }
    }

    /** Header fields of a request. */
    public static final class HeaderBlock {

        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

        /** Begins the fields of a request over an unencrypted connection. */
        public static HeaderBlock of(String method, String path) {
            return new HeaderBlock()
                    .add(":method", method)
                    .add(":scheme", "http")
                    .add(":authority", "127.0.0.1")
                    .add(":path", path);
        }

        public HeaderBlock add(String name, String value) {
            mBytes.write(LITERAL);
            write(name);
            write(value);
            return this;
        }

        private void write(String text) {
            mBytes.write(text.length());
            mBytes.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
        }
    }
}
