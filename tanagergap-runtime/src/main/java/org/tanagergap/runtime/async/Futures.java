package org.tanagergap.runtime.async;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Conversions between the asynchronous types of Vert.x, Mutiny and the standard library. */
public final class Futures {

    private Futures() {}

    /** Future of the standard library that completes with the Vert.x future. */
    public static <T> CompletableFuture<T> toCompletable(Future<T> future) {
        CompletableFuture<T> result = new CompletableFuture<>();
        future.onComplete(
                value -> result.complete(value), failure -> result.completeExceptionally(failure));
        return result;
    }

    /** Uni that emits the result of the Vert.x future. */
    public static <T> Uni<T> toUni(Future<T> future) {
        return Uni.createFrom().completionStage(() -> toCompletable(future));
    }

    /** Vert.x future that completes with the future of the standard library. */
    public static <T> Future<T> toVertx(CompletableFuture<T> future) {
        return Future.fromCompletionStage(future);
    }

    /** Failure without the wrappers that {@link CompletableFuture} adds. */
    public static Throwable rootFailure(Throwable failure) {
        Throwable root = failure;
        while (root instanceof CompletionException && root.getCause() != null) {
            root = root.getCause();
        }
        return root;
    }
}
