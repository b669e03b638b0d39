import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Messages of HTTP/1.1 as the stand-ins read them. */
final class Http {

    private Http() {}

    /** First line and headers of a message. */
    record Head(String first, List<String[]> headers) {

        String get(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        boolean chunked() {
            String coding = get("Transfer-Encoding");
            return coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked");
        }

        boolean closes() {
            String connection = get("Connection");
            return connection != null && connection.toLowerCase(Locale.ROOT).contains("close");
        }

        /** Length of the body; -1 if it isn't stated. */
        long length() {
            String length = get("Content-Length");
            return length == null ? -1 : Long.parseLong(length.trim());
        }
    }

    /** Reads a head; null if the channel ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        List<String[]> headers = new ArrayList<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("channel ends in a head");
            }
            if (line.isEmpty()) {
                return new Head(first, headers);
            }
            int colon = line.indexOf(':');
            headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("channel ends in a line");
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    /** Reads the body of a request. */
    static byte[] readRequestBody(InputStream in, Head head) throws IOException {
        if (head.chunked()) {
            return readChunks(in);
        }
        return head.length() > 0 ? readExactly(in, head.length()) : new byte[0];
    }

    /** Reads the body of a response; throws if it isn't complete. */
    static byte[] readResponseBody(InputStream in, Head head) throws IOException {
        if (head.chunked()) {
            return readChunks(in);
        }
        if (head.length() >= 0) {
            return readExactly(in, head.length());
        }
        return in.readAllBytes();
    }

    /** Reads the next chunk; empty at the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("channel ends before the last chunk");
        }
        byte[] bytes = readExactly(in, Integer.parseInt(size.trim(), 16));
        String end = readLine(in);
        if (end == null) {
            throw new EOFException("channel ends in a chunk");
        }
        return bytes;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            byte[] chunk = readChunk(in);
            if (chunk.length == 0) {
                return body.toByteArray();
            }
            body.writeBytes(chunk);
        }
    }

    private static byte[] readExactly(InputStream in, long length) throws IOException {
        byte[] bytes = in.readNBytes((int) length);
        if (bytes.length < length) {
            throw new EOFException("channel ends after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }
}
