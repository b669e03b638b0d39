package org.tanagergap.entry.configuration;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.entry.agent.AgentClients;
import org.tanagergap.protocol.v1.ConfigurationReply;
import org.tanagergap.protocol.v1.ConfigurationRequest;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.PeriodicTask;
import org.tanagergap.state.configuration.ConfigurationStore;
import org.tanagergap.state.configuration.StoredConfiguration;

/**
 * Updates the view from the key-value store and, until the store has delivered a valid
 * configuration, from the peers.
 */
public final class ConfigurationFeed implements Service {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private static final Duration PEER_INTERVAL = Duration.ofSeconds(1);
    private static final long PEER_TIMEOUT_MILLIS = 1_000;

    private final ConfigurationStore mStore;
    private final ConfigurationView mView;
    private final AgentClients mClients;
    private final List<HostPort> mPeers;
    private final Vertx mVertx;
    private final PeriodicTask mPeerTask;
    private volatile boolean mStoreDelivered;
    private Cancellable mWatch = () -> {};

    public ConfigurationFeed(
            ConfigurationStore store,
            ConfigurationView view,
            AgentClients clients,
            List<HostPort> peers,
            Vertx vertx,
            RuntimeClock clock) {
        mStore = Objects.requireNonNull(store, "store must not be null");
        mView = Objects.requireNonNull(view, "view must not be null");
        mClients = Objects.requireNonNull(clients, "clients must not be null");
        mPeers = List.copyOf(peers);
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mPeerTask = new PeriodicTask(clock, PEER_INTERVAL, this::pollPeers);
    }

    @Override
    public CompletableFuture<Void> start() {
        mWatch =
                mStore.watch(this::isInEffect)
                        .subscribe()
                        .with(
                                this::storeUpdated,
                                failure ->
                                        sLogger.atSevere().withCause(failure).log(
                                                "configuration watch failed; no further updates"));
        return mPeers.isEmpty() ? CompletableFuture.completedFuture(null) : mPeerTask.start();
    }

    @Override
    public CompletableFuture<Void> stop() {
        mWatch.cancel();
        return mPeerTask.stop();
    }

    /** Peers are asked on if the stored document is malformed, as they may hold the last valid. */
    private void storeUpdated(StoredConfiguration stored) {
        offer(stored)
                .onSuccess(
                        ignored -> {
                            if (isInEffect(stored)) {
                                mStoreDelivered = true;
                            }
                        });
    }

    private boolean isInEffect(StoredConfiguration stored) {
        return mView.current().version() >= stored.version();
    }

    // Validating a document of 1 MB takes too long for an event loop.
    private Future<Void> offer(StoredConfiguration stored) {
        return mVertx.<Void>executeBlocking(
                        () -> {
                            mView.offer(stored);
                            return null;
                        })
                .onFailure(
                        failure ->
                                sLogger.atSevere().withCause(failure).log(
                                        "configuration version %d could not be applied",
                                        stored.version()));
    }

    private void pollPeers() {
        if (mStoreDelivered) {
            return;
        }
        ConfigurationRequest request =
                ConfigurationRequest.newBuilder()
                        .setKnownVersion(mView.current().version())
                        .build();
        for (HostPort peer : mPeers) {
            Future<ConfigurationReply> reply =
                    mClients.peer(peer)
                            .configuration(request)
                            .timeout(PEER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            reply.onComplete(
                    this::peerReplied,
                    failure ->
                            sLogger.atFine().log(
                                    "configuration request to peer %s failed: %s", peer, failure));
        }
    }

    private void peerReplied(ConfigurationReply reply) {
        if (!reply.getDocument().isEmpty()) {
            offer(new StoredConfiguration(reply.getVersion(), reply.getDocument()));
        }
    }
}
