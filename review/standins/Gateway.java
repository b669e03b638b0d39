import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A process of the gateway, started with the command and the settings template of the deploy file. */
final class Gateway {

    private static final SecureRandom RANDOM = new SecureRandom();
    private static final Set<Integer> CHOSEN = new HashSet<>();

    final String name;
    final String host;
    final int front;
    final int ready;
    private final Path mSettings;
    private final Path mLog;
    private Process mProcess;

    /** Chooses free ports on a loopback address. */
    Gateway(String name, String host, String store, Path folder, Map<String, String> bounds) throws IOException {
        this.name = name;
        this.host = host;
        front = freePort(host);
        ready = freePort(host);
        int peer = freePort(host);
        int admin = freePort(host);
        String template = Files.readString(Path.of("platform/settings.template"));
        template = template.replaceAll("(?s)\\{\\{#Bounds\\.IdleMaxMs}}(.*?)\\{\\{\\.}}(.*?)\\{\\{/Bounds\\.IdleMaxMs}}",
                "$1" + bounds.get("IdleMaxMs") + "$2");
        String settings = template
                .replace("{{NodeName}}", name).replace("{{Zone}}", "zone-a")
                .replace("{{Listen.Front}}", host + ":" + front).replace("{{Listen.Ready}}", host + ":" + ready)
                .replace("{{Ip}}", host).replace("{{PortRange.0}}", "" + peer).replace("{{PortRange.1}}", "" + admin)
                .replace("{{Platform.Address}}", store).replace("{{Seeds}}", host + ":" + peer);
        for (Map.Entry<String, String> bound : bounds.entrySet()) {
            settings = settings.replace("{{Bounds." + bound.getKey() + "}}", bound.getValue());
        }
        if (settings.contains("{{")) {
            throw new IOException("the settings template has a name that this script doesn't know:\n" + settings);
        }
        mSettings = folder.resolve(name + ".settings");
        mLog = folder.resolve(name + ".log");
        Files.writeString(mSettings, settings);
    }

    /** The bounds of the small site. */
    static Map<String, String> bounds() {
        return new java.util.HashMap<>(Map.of("RetryBudgetRatio", "0.2", "BudgetExtra", "106", "BudgetWindowS", "10", "GraceS", "8",
                "IdleMaxMs", "9000"));
    }

    /** Below the ports that the system gives to outgoing channels, as one of those could take it before the process. */
    private static int freePort(String host) throws IOException {
        InetAddress address = InetAddress.getByName(host);
        while (true) {
            int port = 10_000 + RANDOM.nextInt(22_000);
            if (!CHOSEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, address);
                    DatagramSocket datagrams = new DatagramSocket(port, address)) {
                return port;
            } catch (BindException e) {
                // Another process has it.
            }
        }
    }

    /** The words of the command of the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no command");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(command()));
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        environment.put("TANAGERGAP_CONFIG", mSettings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
    }

    /** Asks as the platform does. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, ready), 500);
            socket.setSoTimeout(500);
            socket.getOutputStream().write(("GET /-/readyz HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n").getBytes());
            Http.Head head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 20; i++) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    int exitCode() {
        return mProcess.exitValue();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, "" + mProcess.pid()).inheritIO().start().waitFor();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return mProcess.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    void kill() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    String log() throws IOException {
        return Files.exists(mLog) ? Files.readString(mLog) : "";
    }
}
