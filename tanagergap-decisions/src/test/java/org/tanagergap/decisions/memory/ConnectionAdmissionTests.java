package org.tanagergap.decisions.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the memory of a process against the number of its connections. */
final class ConnectionAdmissionTests {

    private static final long MEMORY = 24 << 20;
    private static final int DESCRIPTORS = 16_000;

    private final SharedMemoryLimit mLimit = new SharedMemoryLimit(MEMORY);

    /** The descriptors alone allowed connections that filled twice the heap. */
    @Test
    void theMemoryLimitsTheNumberOfConnections() {
        ConnectionAdmission connections = new ConnectionAdmission(mLimit, DESCRIPTORS);
        for (int i = 0; i < connections.maxConnections(); i++) {
            connections.add();
        }

        assertThat(connections.isExceeded()).isFalse();
        assertThat(mLimit.usedBytes()).isAtMost(MEMORY / 2);
        connections.add();
        assertThat(connections.isExceeded()).isTrue();
    }

    @Test
    void furtherMemoryOfConnectionsLeavesRoomForFewer() {
        ConnectionAdmission connections = new ConnectionAdmission(mLimit, DESCRIPTORS);
        List<ConnectionAdmission.Charge> open = new ArrayList<>();
        while (!connections.isExceeded()) {
            ConnectionAdmission.Charge connection = connections.add();
            connection.raise(3 * ConnectionAdmission.CONNECTION_BYTES);
            open.add(connection);
        }

        assertThat(open.size()).isAtMost(connections.maxConnections() / 4 + 1);
        open.forEach(ConnectionAdmission.Charge::close);
        assertThat(mLimit.usedBytes()).isEqualTo(0);
        assertThat(connections.open()).isEqualTo(0);
    }
}
