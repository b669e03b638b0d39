package org.tanagergap.runtime.http;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.tanagergap.decisions.memory.ConnectionAdmission;

/**
 * Open connections of clients by their use. When there are too many, the one that has been idle
 * longest is closed, then the one that has been without a complete request longest: neither has a
 * request that may run, and a new connection has the time to send one. Those whose clients do not
 * read their responses follow. Established connections are closed last while they are at most half
 * of all, so that new ones cannot displace them. Confined to the event loop.
 */
final class ConnectionTable {

    private static final int ESTABLISHED_SHARE_DIVISOR = 2;

    private final ConnectionAdmission mAdmission;
    private final Runnable mOnEvict;

    /** Connections in the order in which their use began. */
    private final Set<InboundConnection> mIdle = new LinkedHashSet<>();

    private final Set<InboundConnection> mIncomplete = new LinkedHashSet<>();
    private final Set<InboundConnection> mEstablished = new LinkedHashSet<>();
    private final Set<InboundConnection> mResponding = new LinkedHashSet<>();

    ConnectionTable(ConnectionAdmission admission, Runnable onEvict) {
        mAdmission = admission;
        mOnEvict = onEvict;
    }

    int size() {
        return mAdmission.open();
    }

    /** Adds a connection; closes others, or this one if all others have complete requests. */
    ConnectionAdmission.Charge add(InboundConnection connection) {
        ConnectionAdmission.Charge charge = mAdmission.add();
        mIncomplete.add(connection);
        evictSurplus(connection);
        return charge;
    }

    /** Records that the use of a connection has changed. */
    void useChanged(InboundConnection connection) {
        remove(connection);
        setOf(connection).add(connection);
    }

    private Set<InboundConnection> setOf(InboundConnection connection) {
        if (connection.use() == InboundConnection.Use.RESPONDING) {
            return mResponding;
        }
        if (connection.isEstablished()) {
            return mEstablished;
        }
        return connection.use() == InboundConnection.Use.IDLE ? mIdle : mIncomplete;
    }

    void remove(InboundConnection connection) {
        mIdle.remove(connection);
        mIncomplete.remove(connection);
        mEstablished.remove(connection);
        mResponding.remove(connection);
    }

    /** Closes connections while there are too many, the given one after all others. */
    void evictSurplus(InboundConnection last) {
        while (mAdmission.isExceeded()) {
            Optional<InboundConnection> victim = victim(connection -> connection != last);
            if (victim.isEmpty()) {
                remove(last);
                mOnEvict.run();
                last.evictLater();
                return;
            }
            evict(victim.get());
        }
    }

    private Optional<InboundConnection> victim(Predicate<InboundConnection> condition) {
        boolean tooManyEstablished =
                mEstablished.size() > mAdmission.maxConnections() / ESTABLISHED_SHARE_DIVISOR;
        Optional<InboundConnection> established = first(mEstablished, condition);
        if (tooManyEstablished && established.isPresent()) {
            return established;
        }
        return first(mIdle, condition)
                .or(() -> first(mIncomplete, condition))
                .or(() -> first(mResponding, condition.and(InboundConnection::isUnread)))
                .or(() -> established);
    }

    /**
     * Closes the connection that has been without a complete request longest, or one whose client
     * does not read its responses.
     *
     * @return false if there is no other than the given one
     */
    boolean evictStalled(InboundConnection except) {
        Optional<InboundConnection> victim =
                Stream.concat(mIncomplete.stream(), mEstablished.stream())
                        .filter(connection -> connection != except)
                        .filter(c -> c.use() == InboundConnection.Use.RECEIVING)
                        .findFirst()
                        .or(() -> first(mResponding, c -> c != except && c.isUnread()));
        victim.ifPresent(this::evict);
        return victim.isPresent();
    }

    private void evict(InboundConnection connection) {
        remove(connection);
        mOnEvict.run();
        connection.evict();
    }

    private static Optional<InboundConnection> first(
            Set<InboundConnection> connections, Predicate<InboundConnection> condition) {
        return connections.stream().filter(condition).findFirst();
    }
}
