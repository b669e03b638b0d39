package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.ResponseHead;
import org.tanagergap.protocol.v1.RunRequest;

/** Guards calls on kept connections against running without a response while an entry exits. */
final class EntryShutdownTests {

    private static final int CONNECTIONS = 80;
    private static final int SOCKET_TIMEOUT_MILLIS = 5000;
    private static final long RUN_MILLIS = 20;

    private final Set<String> mRan = ConcurrentHashMap.newKeySet();
    private final List<Socket> mSockets = new ArrayList<>();
    private EntryHarness mHarness;

    @BeforeEach
    void start() throws Exception {
        mHarness = new EntryHarness();
        mHarness.agent("runner-1");
        mHarness.agent("orders-1").mScript = this::runOrder;
        mHarness.start();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = new Socket("127.0.0.1", mHarness.mEntry.callerPort());
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            mSockets.add(socket);
        }
    }

    @AfterEach
    void close() throws Exception {
        for (Socket socket : mSockets) {
            socket.close();
        }
        mHarness.close();
    }

    private void runOrder(RunRequest request, FakeAgent.Stream stream) {
        mRan.add(request.getPlain().getPath());
        mHarness.mVertx.setTimer(
                RUN_MILLIS,
                ignored -> {
                    stream.send(stream.event().setHead(ResponseHead.newBuilder().setStatus(200)));
                    stream.send(stream.event().setBody(ByteString.copyFromUtf8("placed")));
                    stream.finish(0);
                });
    }

    private static String path(int number) {
        return "/place/" + number;
    }

    private void sendOrder(int number) throws IOException {
        String request =
                "POST /services/orders"
                        + path(number)
                        + " HTTP/1.1\r\nHost: entry\r\nIdempotency-Key: key-"
                        + number
                        + "\r\nContent-Length: 2\r\nAuthorization: Bearer "
                        + EntryHarness.KEY
                        + "\r\n\r\n{}";
        mSockets.get(number).getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String response(int number) {
        try {
            byte[] bytes = mSockets.get(number).getInputStream().readAllBytes();
            return new String(bytes, StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }

    /** Some of the calls arrive when the last one before them has its response already. */
    @Test
    void noCallRunsWithoutAResponseWhileTheEntryStops() throws Exception {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            if (i == CONNECTIONS / 2) {
                // On a busy machine the entry may not have read any of the calls yet.
                EntryHarness.await(() -> !mRan.isEmpty());
                mHarness.mEntry.stop().thenAccept(stopped::complete);
            }
            try {
                sendOrder(i);
            } catch (IOException e) {
                // The entry has closed the connection.
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        stopped.get(10, TimeUnit.SECONDS);

        for (int i = 0; i < CONNECTIONS; i++) {
            String response = response(i);
            if (mRan.contains(path(i))) {
                assertThat(response).contains("placed");
            } else if (!response.isEmpty()) {
                assertThat(response).startsWith("HTTP/1.1 503");
            }
        }
        assertThat(mRan).isNotEmpty();
        assertThrows(
                ConnectException.class,
                () -> new Socket("127.0.0.1", mHarness.mEntry.callerPort()).close());
    }
}
