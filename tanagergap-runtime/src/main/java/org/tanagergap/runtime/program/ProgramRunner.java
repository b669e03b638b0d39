package org.tanagergap.runtime.program;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.infrastructure.Infrastructure;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.http.AcceptedConnections;
import org.tanagergap.runtime.log.StructuredLogging;

/** Runs a long-running program from its command line until the process is terminated. */
public final class ProgramRunner {

    static {
        // Set by name, because loading the class would initialize the default log manager.
        System.setProperty(
                "java.util.logging.manager", "org.tanagergap.runtime.log.ShutdownSafeLogManager");
    }

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Time at a shutdown for a start that is not complete. */
    private static final long START_TIMEOUT_SECONDS = 3;

    private static final long STOP_TIMEOUT_MINUTES = 30;
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private static volatile boolean sStopping;

    private ProgramRunner() {}

    /** Parses the arguments, starts the program's service and stops it when the process ends. */
    public static <C extends ProgramCommand> void run(Class<C> type, String[] args) {
        C command = args.length == 0 ? withoutFlags(type) : parse(type, args);
        if (command.mHelp != null && command.mHelp.showHelpIfRequested()) {
            return;
        }
        if (command.mVersion) {
            System.out.println(command.programName() + " " + Version.current());
            return;
        }
        if (command.mShowSettings) {
            showSettings(command);
            return;
        }
        // A stream can fail after its subscriber has cancelled it; nobody receives such a failure.
        Infrastructure.setDroppedExceptionHandler(
                failure ->
                        sLogger.atFine().withCause(failure).log(
                                "a stream failed after its cancellation"));
        AcceptedConnections accepted = new AcceptedConnections();
        Vertx vertx =
                Vertx.builder()
                        .with(command.vertxOptions())
                        .withTransport(accepted.transport())
                        .build();
        exitWithEventLoops(vertx);
        ProgramContext context = prepare(command, vertx, accepted);
        start(command, command.createService(context), context);
    }

    /**
     * Ends the process when an event loop ends by an error. The Java virtual machine would run the
     * shutdown hooks after the last thread, as for a signal, and the exit status would be 0.
     */
    private static void exitWithEventLoops(Vertx vertx) {
        ((VertxInternal) vertx)
                .nettyEventLoopGroup()
                .forEach(
                        loop ->
                                loop.terminationFuture()
                                        .addListener(
                                                ignored -> {
                                                    if (!sStopping) {
                                                        eventLoopEnded();
                                                    }
                                                }));
    }

    private static void eventLoopEnded() {
        System.err.println("exiting with status " + ExitStatus.FAILED + ": an event loop ended");
        Runtime.getRuntime().halt(ExitStatus.FAILED);
    }

    private static void start(ProgramCommand command, Service service, ProgramContext context) {
        CompletableFuture<Void> started = new CompletableFuture<>();
        // Added first, because the service accepts work before its start is complete.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> stop(service, started, context), "shutdown"));
        try {
            service.start().get();
            sLogger.atInfo().log("%s started", command.programName());
            started.complete(null);
        } catch (ExecutionException | InterruptedException e) {
            sLogger.atSevere().withCause(e).log("%s could not start", command.programName());
            started.completeExceptionally(e);
            System.exit(ExitStatus.FAILED);
        }
    }

    /** Creates the command without the parser, which is slow to load, if there are no flags. */
    private static <C extends ProgramCommand> C withoutFlags(Class<C> type) {
        try {
            return type.getDeclaredConstructor().newInstance();
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException(type + " has no constructor without arguments", e);
        }
    }

    private static <C> C parse(Class<C> type, String[] args) {
        try {
            return SingleCommand.singleCommand(type).parse(args);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(ExitStatus.INVALID_SETTINGS);
            throw e;
        }
    }

    private static void showSettings(ProgramCommand command) {
        valueOrExit(() -> command.effectiveSettings(System.getenv()))
                .forEach(setting -> System.out.println(setting.line()));
    }

    private static ProgramContext prepare(
            ProgramCommand command, Vertx vertx, AcceptedConnections accepted) {
        return valueOrExit(() -> command.prepare(System.getenv(), vertx, accepted));
    }

    /** Returns the value of the supplier; on invalid input prints all findings and exits. */
    private static <T> T valueOrExit(Supplier<T> supplier) {
        try {
            return supplier.get();
        } catch (InvalidInputException e) {
            e.findings().forEach(System.err::println);
            System.exit(ExitStatus.INVALID_SETTINGS);
            throw e;
        }
    }

    /** Stops the event loop threads, whose native calls could fail while the process exits. */
    private static void closeEventLoops(ProgramContext context) {
        try {
            context.vertx()
                    .close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | InterruptedException | TimeoutException e) {
            sLogger.atInfo().log("event loops could not be closed: %s", e);
        }
    }

    private static void stop(
            Service service, CompletableFuture<Void> started, ProgramContext context) {
        sStopping = true;
        int status = ExitStatus.OK;
        try {
            started.copy()
                    .completeOnTimeout(null, START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .thenCompose(ignored -> service.stop())
                    .get(STOP_TIMEOUT_MINUTES, TimeUnit.MINUTES);
            context.tracing().close();
            sLogger.atInfo().log("stopped");
        } catch (ExecutionException | InterruptedException | TimeoutException e) {
            if (!started.isCompletedExceptionally()) {
                sLogger.atSevere().withCause(e).log("shutdown failed");
            }
            status = ExitStatus.FAILED;
        }
        closeEventLoops(context);
        StructuredLogging.close();
        // Without halt, a process terminated by a signal reports the signal as its exit status.
        Runtime.getRuntime().halt(status);
    }
}
