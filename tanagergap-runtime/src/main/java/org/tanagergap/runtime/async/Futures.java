package org.tanagergap.runtime.async;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

/** Conversions between the asynchronous types of Vert.x, Mutiny and the standard library. */
public final class Futures {

    private Futures() {}

    /** Converts a Vert.x future to a {@link CompletableFuture}. */
    public static <T> CompletableFuture<T> toCompletable(Future<T> future) {
        CompletableFuture<T> result = new CompletableFuture<>();
        future.onComplete(
                value -> result.complete(value), failure -> result.completeExceptionally(failure));
        return result;
    }

    /** Converts a Vert.x future to a {@link Uni}. */
    public static <T> Uni<T> toUni(Future<T> future) {
        return Uni.createFrom().completionStage(() -> toCompletable(future));
    }

    /** Converts a {@link CompletableFuture} to a Vert.x future. */
    public static <T> Future<T> toVertx(CompletableFuture<T> future) {
        return Future.fromCompletionStage(future);
    }

    /** Runs an action on a context; completes when the future of the action does. */
    public static <T> CompletableFuture<T> onContext(
            Context context, Supplier<CompletableFuture<T>> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        context.runOnContext(
                ignored ->
                        action.get()
                                .whenComplete(
                                        (value, failure) -> complete(result, value, failure)));
        return result;
    }

    private static <T> void complete(CompletableFuture<T> future, T value, Throwable failure) {
        if (failure == null) {
            future.complete(value);
        } else {
            future.completeExceptionally(rootFailure(failure));
        }
    }

    /**
     * Unwraps the {@link CompletionException}s that {@link CompletableFuture} adds to a failure.
     */
    public static Throwable rootFailure(Throwable failure) {
        Throwable root = failure;
        while (root instanceof CompletionException && root.getCause() != null) {
            root = root.getCause();
        }
        return root;
    }
}
