package org.tanagergap.ctl;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.runtime.program.Version;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;
import org.tanagergap.state.configuration.ConfigurationStore;

/** Base of the commands: common options, error handling and output. */
abstract class CtlCommand {

    /** Upper bound for one call; the timeouts of the store itself are shorter. */
    static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

    @AirlineModule HelpOption<CtlCommand> mHelp;

    @Option(name = "--version", description = "Prints the version and exits")
    boolean mVersion;

    @Option(
            name = "--key-value",
            title = "host:port",
            description = "Address of the key-value service (TANAGERGAP_KEY_VALUE)")
    String mKeyValue;

    @Option(
            name = "--output",
            title = "format",
            description = "Form of the result: text or json (TANAGERGAP_OUTPUT)")
    String mOutput;

    private CtlContext mContext;
    private SettingsReader mReader;
    private OutputFormat mFormat;

    /**
     * Executes the command.
     *
     * @return the exit status, one of {@link CtlExitStatus}
     */
    abstract int execute();

    /** Runs the command and converts failures to messages and exit statuses. */
    final int run(CtlContext context) {
        mContext = context;
        mReader = new SettingsReader(context.environment());
        if (mHelp != null && mHelp.showHelpIfRequested()) {
            return CtlExitStatus.DONE;
        }
        if (mVersion) {
            context.out().println("tanagergap-ctl " + Version.current());
            return CtlExitStatus.DONE;
        }
        mFormat = mReader.choice("--output", mOutput, "text", OutputFormat.class);
        try {
            mReader.findings().throwIfAny();
            return execute();
        } catch (InvalidInputException e) {
            return printFindings(e);
        } catch (CommandFailedException e) {
            return fail(e.getMessage());
        }
    }

    final CtlContext context() {
        return mContext;
    }

    final SettingsReader reader() {
        return mReader;
    }

    final ConfigurationStore store() {
        HostPort address = mReader.address("--key-value", mKeyValue, null);
        mReader.findings().throwIfAny();
        return mContext.storeOpener().open(address);
    }

    /** Returns true if a flag or variable gives the address of the key-value service. */
    final boolean hasKeyValue() {
        return mReader.optionalText("--key-value", mKeyValue).isPresent();
    }

    /** Prints a result in the requested output format. */
    final void print(JsonObject json, String text) {
        mContext.out().println(mFormat == OutputFormat.JSON ? json.encodePrettily() : text);
    }

    /** Prints a message to standard error. */
    final void printMessage(String message) {
        mContext.err().println(message);
    }

    final int fail(String message) {
        if (mFormat == OutputFormat.JSON) {
            print(new JsonObject().put("result", "failed").put("message", message), "");
        } else {
            printMessage(message);
        }
        return CtlExitStatus.FAILED;
    }

    /** Creates the exception for an invalid argument, which has no environment variable. */
    static InvalidInputException invalidArgument(String argument, String message) {
        return new InvalidInputException(List.of(new Finding(argument, message)));
    }

    /** Reads a UTF-8 file, or standard input if the name is {@code -}. */
    final String readFile(String file) {
        if (file == null) {
            throw invalidArgument("FILE", "is required; expected a file name or -");
        }
        try {
            return file.equals("-")
                    ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(file));
        } catch (CharacterCodingException e) {
            throw new CommandFailedException(file + " is not UTF-8 text", e);
        } catch (IOException | UncheckedIOException | InvalidPathException e) {
            throw new CommandFailedException(file + " could not be read: " + e.getMessage(), e);
        }
    }

    /** Waits for a call; {@code operation} starts the message if it fails or times out. */
    static <T> T await(CompletableFuture<T> call, String operation) {
        try {
            return call.get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new CommandFailedException(
                    operation + " failed: " + e.getCause().getMessage(), e);
        } catch (TimeoutException e) {
            throw new CommandFailedException(
                    operation + " did not end within " + CALL_TIMEOUT.toSeconds() + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailedException(operation + " was interrupted", e);
        }
    }

    private int printFindings(InvalidInputException e) {
        if (mFormat == OutputFormat.JSON) {
            print(ResultFormatter.findings(e.findings()), "");
        } else {
            e.findings().forEach(finding -> printMessage(finding.toString()));
        }
        return CtlExitStatus.INVALID_INPUT;
    }
}
