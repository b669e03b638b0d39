package org.tanagergap.measure.capacity;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tanagergap.document.ConfigurationDocument;

/** Size, parsing time and heap of the configuration by number of workspaces and upstreams. */
final class ConfigurationSlopes {

    private static final List<Integer> SIZES = List.of(250, 500, 1_000, 2_000);
    private static final int REPETITIONS = 100;

    private ConfigurationSlopes() {}

    static List<Slope> measure() {
        Slope workspaceBytes = new Slope("document per workspace", "bytes");
        Slope upstreamBytes = new Slope("document per upstream", "bytes");
        Slope parseTime = new Slope("parsing per workspace, processor time", "ns");
        Slope heap = new Slope("heap of the configuration per workspace", "bytes");
        Slope upstreamHeap = new Slope("heap of the configuration per upstream", "bytes");
        for (int size : SIZES) {
            String workspaces = ConfigurationDocument.write(SampleConfigurations.of(size, 7));
            String upstreams = ConfigurationDocument.write(SampleConfigurations.of(1, size));
            workspaceBytes.add(size, bytes(workspaces));
            upstreamBytes.add(size, bytes(upstreams));
            parseRepeatedly(workspaces);
            parseTime.add(
                    size,
                    ResourceMeter.cpuNanos(() -> parseRepeatedly(workspaces))
                            / (double) REPETITIONS);
            heap.add(
                    size,
                    ResourceMeter.retainedBytes(() -> ConfigurationDocument.parse(workspaces, 1)));
            upstreamHeap.add(
                    size,
                    ResourceMeter.retainedBytes(() -> ConfigurationDocument.parse(upstreams, 1)));
        }
        return List.of(workspaceBytes, upstreamBytes, parseTime, heap, upstreamHeap);
    }

    private static void parseRepeatedly(String document) {
        for (int i = 0; i < REPETITIONS; i++) {
            ConfigurationDocument.parse(document, 1);
        }
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
