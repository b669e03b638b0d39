import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: the store, runners and gateways, and a temporary folder for their settings. */
final class Site implements AutoCloseable {

    final Recorder record;
    final Store store;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Gateway> gateways = new ArrayList<>();

    Site(String caseName) throws IOException {
        record = new Recorder(Path.of("review", caseName, "record.txt"));
        store = new Store();
        folder = Files.createTempDirectory("review-" + caseName + "-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        record.tell("case %s, %s the disruption", caseName, trouble ? "with" : "without");
    }

    Gateway gateway(String name, String storeAddress) throws IOException {
        Gateway gateway = new Gateway(name, "127.0.0.1", storeAddress, folder, Gateway.bounds());
        gateways.add(gateway);
        return gateway;
    }

    /** The limits of the site's desired states. */
    static String limits() {
        return "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}";
    }

    /** An engine like those of the site's desired states. */
    static String engine() {
        return "\"Engine\":{\"Slots\":11,\"KvCapacity\":232000,\"KvTokenBytes\":327680,\"LinkMbps\":400000.0,\"Stride\":43,"
                + "\"Models\":[{\"Name\":\"m\"}],\"step_ms\":1.02,\"per_seq_ms\":0.0033,\"context_per_k\":0.00431,\"read_per_s\":206000.0,"
                + "\"pairs_per_m\":0.138,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":12337,\"answer\":1303},\"HopMs\":0.075}";
    }

    @Override
    public synchronized void close() {
        gateways.forEach(Gateway::kill);
        try {
            if (Files.exists(folder)) {
                try (Stream<Path> files = Files.walk(folder)) {
                    files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
                }
            }
        } catch (IOException e) {
            System.err.println("the temporary folder is left: " + e.getMessage());
        }
    }
}
