package org.tanagergap.gateway.forward;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.time.Timer;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.HelperAddress;
import org.tanagergap.gateway.wire.MemoryReservationRequest;
import org.tanagergap.runtime.http.ShortCall;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Memory on several engines for one prompt: all of it or none, in the order of the engines'
 * identifiers. It is extended while the request runs and released at its end; without either it
 * lapses. Confined to the event loop.
 */
final class HelperMemoryReservation {

    private static final Duration HOLD = Duration.ofMillis(3500);
    private static final Duration EXTENSION_INTERVAL = Duration.ofMillis(1200);
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

    /** Orders without an answer are carried out at most this much later. */
    private static final Duration LATE_ORDERS = Duration.ofSeconds(13);

    private static final Duration RELEASE_INTERVAL = Duration.ofMillis(500);
    private static final int HTTP_OK = 200;

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ForwardingContext mParts;
    private final String mId;
    private final List<Upstream> mHelpers;
    private final long mTokens;
    private final List<Upstream> mOrdered = new ArrayList<>();
    private final Set<String> mUnanswered = new HashSet<>();
    private long mReleasedNanos;
    private boolean mReleased;
    private Timer mTimer = () -> {};

    /**
     * Creates a reservation that holds nothing yet.
     *
     * @param id identifier, unique across instances
     * @param tokens memory on each engine, in tokens
     */
    HelperMemoryReservation(
            ForwardingContext parts, String id, List<Upstream> helpers, long tokens) {
        mParts = parts;
        mId = id;
        mHelpers = List.copyOf(helpers);
        mTokens = tokens;
    }

    /** Is told how a reservation ended. */
    interface Outcome {

        /** All engines hold the memory. */
        void held(List<HelperAddress> helpers);

        /** The engine does not hold the memory, and all the others release it. */
        void refused(Upstream helper);
    }

    /** Reserves on all engines and tells the outcome, unless it is released before. */
    void acquire(Outcome outcome) {
        acquireNext(0, outcome);
    }

    /** Releases what is held; has no effect the second time. */
    void release() {
        if (mReleased) {
            return;
        }
        mReleased = true;
        mReleasedNanos = mParts.clock().nanoTime();
        mTimer.cancel();
        mOrdered.forEach(this::release);
    }

    private void release(Upstream helper) {
        order(helper, mParts.wire().release(mId))
                .onComplete(
                        ignored -> {
                            if (mUnanswered.contains(helper.id())) {
                                releaseAgain(helper);
                            }
                        },
                        failure -> releaseAgain(helper));
    }

    /**
     * An order that got no answer may be carried out seconds later and reserve the memory anew, so
     * the release is repeated until that is over.
     */
    private void releaseAgain(Upstream helper) {
        if (mParts.clock().nanoTime() - mReleasedNanos < LATE_ORDERS.toNanos()) {
            mParts.clock().schedule(RELEASE_INTERVAL, () -> release(helper));
        }
    }

    private void noteUnanswered(Upstream helper, String what, Throwable failure) {
        sLogger.atInfo().log(
                "%s of %d tokens for %s at %s got no answer: %s",
                what, mTokens, mId, helper.id(), failure.getMessage());
        mUnanswered.add(helper.id());
    }

    private void acquireNext(int index, Outcome outcome) {
        if (mReleased) {
            return;
        }
        if (index == mHelpers.size()) {
            mTimer = mParts.clock().schedule(EXTENSION_INTERVAL, this::extend);
            outcome.held(addresses());
            return;
        }
        Upstream helper = mHelpers.get(index);
        // An order without an answer may have been accepted, so it is released as well.
        mOrdered.add(helper);
        order(helper, mParts.wire().reserve(mId, mTokens, HOLD))
                .onComplete(
                        status -> {
                            if (status == HTTP_OK) {
                                acquireNext(index + 1, outcome);
                            } else {
                                refused(helper, "status " + status, outcome);
                            }
                        },
                        failure -> {
                            noteUnanswered(helper, "reservation", failure);
                            refused(helper, "no answer", outcome);
                        });
    }

    private void refused(Upstream helper, String reason, Outcome outcome) {
        sLogger.atInfo().log(
                "%d tokens for %s are not to be had at %s: %s", mTokens, mId, helper.id(), reason);
        release();
        outcome.refused(helper);
    }

    private void extend() {
        if (mReleased) {
            return;
        }
        for (Upstream helper : mOrdered) {
            order(helper, mParts.wire().reserve(mId, mTokens, HOLD))
                    .onComplete(
                            ignored -> {}, failure -> noteUnanswered(helper, "extension", failure));
        }
        mTimer = mParts.clock().schedule(EXTENSION_INTERVAL, this::extend);
    }

    private List<HelperAddress> addresses() {
        return mHelpers.stream()
                .map(helper -> new HelperAddress(helper.address(), Optional.of(mId)))
                .toList();
    }

    private Future<Integer> order(Upstream upstream, MemoryReservationRequest order) {
        HostPort address = upstream.address();
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setURI(order.path())
                        .setConnectTimeout(ORDER_TIMEOUT.toMillis())
                        .putHeader("Content-Type", "application/json");
        return mParts.client()
                .request(options)
                .compose(
                        request ->
                                ShortCall.send(request, Optional.of(order.body()), ORDER_TIMEOUT))
                .map(ShortCall.Answer::status);
    }
}
