package org.tanagergap.runtime.program;

import com.codahale.metrics.MetricRegistry;
import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.http.AcceptedConnections;
import org.tanagergap.runtime.log.StructuredLogging;
import org.tanagergap.runtime.settings.EffectiveSetting;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.trace.TraceOutput;
import org.tanagergap.runtime.trace.Tracing;

/** Base class of long-running programs: the settings that all share, and their startup. */
public abstract class ProgramCommand {

    @AirlineModule HelpOption<ProgramCommand> mHelp;

    @Option(name = "--version", description = "Prints the version and exits")
    boolean mVersion;

    @Option(
            name = "--show-settings",
            description = "Prints each setting with its value and source, and exits")
    boolean mShowSettings;

    @Option(
            name = "--config",
            title = "file",
            description = "File with settings, one name=value a line; flags and variables go first")
    String mConfig;

    @Option(
            name = "--admin-listen",
            title = "host:port",
            description = "Address of /healthz, /readyz, /metrics and /status")
    String mAdminListen;

    @Option(
            name = "--log-level",
            title = "level",
            description = "Least severe level that is logged: severe, warning, info or fine")
    String mLogLevel;

    @Option(
            name = "--trace-output",
            title = "output",
            description = "Where spans go: none, log or otlp")
    String mTraceOutput;

    @Option(
            name = "--trace-endpoint",
            title = "url",
            description = "URL of the trace collector, for --trace-output otlp")
    String mTraceEndpoint;

    private enum LogLevel {
        SEVERE(Level.SEVERE),
        WARNING(Level.WARNING),
        INFO(Level.INFO),
        FINE(Level.FINE);

        private final Level mLevel;

        LogLevel(Level level) {
            mLevel = level;
        }
    }

    /** Name of the program, used in logs, traces and {@code --version}. */
    protected abstract String programName();

    /** Reads the settings of this program; findings are added to the reader. */
    protected abstract void readSettings(SettingsReader reader);

    /** Creates the service of this program; called only if all settings are valid. */
    protected abstract Service createService(ProgramContext context);

    /** Options with which Vert.x and its event loops are created. */
    protected VertxOptions vertxOptions() {
        return new VertxOptions();
    }

    /** Creates a settings reader with the environment and the settings file, if one is given. */
    protected final SettingsReader reader(Map<String, String> environment) {
        SettingsReader reader = new SettingsReader(environment);
        reader.optionalText("--config", mConfig)
                .ifPresent(path -> reader.file("--config", Path.of(path)));
        return reader;
    }

    /**
     * Reads all settings and initializes logging and tracing.
     *
     * @throws org.tanagergap.api.finding.InvalidInputException if a setting is invalid
     */
    final ProgramContext prepare(
            Map<String, String> environment, Vertx vertx, AcceptedConnections accepted) {
        CommonSettings common = readAll(reader(environment));
        StructuredLogging.install(programName(), common.level().mLevel);
        return new ProgramContext(
                vertx,
                new VertxRuntimeClock(vertx),
                new MetricRegistry(),
                new Tracing(programName(), common.traceOutput(), common.traceEndpoint()),
                common.adminListen(),
                accepted);
    }

    /**
     * Returns all settings with their values and sources.
     *
     * @throws org.tanagergap.api.finding.InvalidInputException if a setting is invalid
     */
    public final List<EffectiveSetting> effectiveSettings(Map<String, String> environment) {
        SettingsReader reader = reader(environment);
        readAll(reader);
        return reader.effective();
    }

    private CommonSettings readAll(SettingsReader reader) {
        CommonSettings common =
                new CommonSettings(
                        reader.address("--admin-listen", mAdminListen, "127.0.0.1:0"),
                        reader.choice("--log-level", mLogLevel, "info", LogLevel.class),
                        reader.choice("--trace-output", mTraceOutput, "none", TraceOutput.class),
                        reader.optionalText("--trace-endpoint", mTraceEndpoint));
        readSettings(reader);
        reader.findings().throwIfAny();
        return common;
    }

    private record CommonSettings(
            HostPort adminListen,
            LogLevel level,
            TraceOutput traceOutput,
            Optional<String> traceEndpoint) {}
}
