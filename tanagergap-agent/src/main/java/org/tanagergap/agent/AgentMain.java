package org.tanagergap.agent;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.program.ProgramCommand;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.program.ProgramRunner;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;
import org.tanagergap.runtime.tls.TlsFlags;

/** Program of the agent, which schedules work on one upstream and runs it. */
@Command(name = AgentMain.PROGRAM, description = "Runs work on the upstream beside it")
public final class AgentMain extends ProgramCommand {

    static final String PROGRAM = "tanagergap-agent";

    private static final long MAX_MEMORY_TOKENS = 1_000_000_000;
    private static final long MAX_CONCURRENCY = 10_000;

    @Option(name = "--listen", title = "host:port", description = "Address for calls of entries")
    String mListen;

    @Option(name = "--name", title = "name", description = "Name of the upstream")
    String mName;

    @Option(
            name = "--failure-domain",
            title = "name",
            description = "Failure domain of the upstream")
    String mFailureDomain;

    @Option(name = "--upstream", title = "url", description = "Base URL of the upstream")
    String mUpstream;

    @Option(
            name = "--upstream-kind",
            title = "kind",
            description = "Kind of the upstream: model or plain")
    String mUpstreamKind;

    @Option(
            name = "--service",
            title = "name",
            description = "Name of the service that the upstream serves")
    String mService;

    @Option(
            name = "--memory-tokens",
            title = "n",
            description = "Memory of the engine, in tokens, until a configuration is received")
    String mMemoryTokens;

    @Option(
            name = "--concurrency",
            title = "n",
            description = "Most calls in flight on a plain service")
    String mConcurrency;

    @Option(
            name = "--key-value",
            title = "host:port",
            description = "Address of the key-value service; needed for plain services")
    String mKeyValue;

    @Option(
            name = "--load-interval-ms",
            title = "ms",
            description = "Time between two polls of the engine's load")
    String mLoadInterval;

    @Option(
            name = "--drain-ms",
            title = "ms",
            description = "Most time for running work at shutdown")
    String mDrain;

    @AirlineModule TlsFlags mTls = new TlsFlags();

    private AgentSettings mSettings;

    public static void main(String[] args) {
        ProgramRunner.run(AgentMain.class, args);
    }

    @Override
    protected String programName() {
        return PROGRAM;
    }

    @Override
    protected void readSettings(SettingsReader reader) {
        HostPort listen = reader.address("--listen", mListen, null);
        String name = reader.text("--name", mName, null);
        String failureDomain = reader.text("--failure-domain", mFailureDomain, null);
        String upstream = reader.text("--upstream", mUpstream, null);
        UpstreamKind kind =
                reader.choice("--upstream-kind", mUpstreamKind, "model", UpstreamKind.class);
        String service = reader.text("--service", mService, null);
        long memory =
                reader.number("--memory-tokens", mMemoryTokens, "400000", 1, MAX_MEMORY_TOKENS);
        long concurrency = reader.number("--concurrency", mConcurrency, "64", 1, MAX_CONCURRENCY);
        Optional<HostPort> keyValue = keyValue(reader, kind);
        Duration loadInterval =
                reader.millis("--load-interval-ms", mLoadInterval, "250", 10, 60_000);
        Duration drainTimeout = reader.millis("--drain-ms", mDrain, "600000", 0, 1_700_000);
        if (upstream != null && !isBaseUrl(upstream)) {
            reader.reject(
                    "--upstream", "\"" + upstream + "\" is not a URL of the form http://host:port");
        }
        mSettings =
                new AgentSettings(
                        listen,
                        name,
                        failureDomain,
                        upstream == null ? "" : upstream.replaceFirst("/+$", ""),
                        kind,
                        service,
                        memory,
                        (int) concurrency,
                        keyValue,
                        loadInterval,
                        mTls.readMutual(reader),
                        drainTimeout);
    }

    @Override
    protected Service createService(ProgramContext context) {
        return new AgentService(mSettings, context);
    }

    private Optional<HostPort> keyValue(SettingsReader reader, UpstreamKind kind) {
        boolean needed = kind == UpstreamKind.PLAIN;
        if (!needed && reader.optionalText("--key-value", mKeyValue).isEmpty()) {
            return Optional.empty();
        }
        return Optional.ofNullable(reader.address("--key-value", mKeyValue, null));
    }

    private static boolean isBaseUrl(String text) {
        try {
            URI uri = URI.create(text);
            return uri.getHost() != null
                    && ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()));
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
