import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 connection: heads and bodies with a length or in chunks. */
final class Channel {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    record Head(String first, Map<String, String> fields) {
        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        long length() {
            String length = field("content-length");
            return length == null ? 0 : Long.parseLong(length.trim());
        }

        boolean chunked() {
            return "chunked".equalsIgnoreCase(field("transfer-encoding"));
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    Channel(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new java.io.BufferedInputStream(socket.getInputStream(), 8192);
        out = socket.getOutputStream();
    }

    /** Returns the next head, or null if the peer has closed before its first byte. */
    Head readHead() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        String line = line();
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = line();
        }
        if (line == null) {
            throw new EOFException("the head is incomplete");
        }
        return new Head(first, fields);
    }

    byte[] readBody(Head head) throws IOException {
        if (!head.chunked()) {
            byte[] body = in.readNBytes((int) head.length());
            if (body.length < head.length()) {
                throw new EOFException("the body is incomplete");
            }
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line();
            if (size == null) {
                throw new EOFException("the body ends between two chunks");
            }
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("the body ends inside a chunk");
            }
            body.write(chunk);
            String end = line();
            if (end == null) {
                throw new EOFException("the body ends behind a chunk");
            }
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    void write(String head, byte[] body) throws IOException {
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        out.write(all);
        out.flush();
    }

    void answer(int status, String moreFields, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        write(
                "HTTP/1.1 " + status + " Status\r\n" + moreFields + "Content-Length: "
                        + bytes.length + "\r\n\r\n",
                bytes);
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("a line is incomplete");
            }
            line.write(next);
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    /** Closes so that the peer gets a reset. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The peer has closed before.
        }
        close();
    }
}
