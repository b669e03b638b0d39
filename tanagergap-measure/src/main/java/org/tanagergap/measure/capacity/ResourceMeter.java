package org.tanagergap.measure.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Measures heap and processor time of the running process. */
final class ResourceMeter {

    private static final int GC_RUNS = 3;
    private static final int COPIES = 10;

    private ResourceMeter() {}

    /** Returns the heap retained by one built object, in bytes, as the mean of several copies. */
    static double retainedBytes(Supplier<?> builder) {
        // The first build loads classes and fills caches, which must not count as part of the
        // object.
        builder.get();
        List<Object> copies = new ArrayList<>(COPIES);
        long before = usedHeapBytes();
        for (int i = 0; i < COPIES; i++) {
            copies.add(builder.get());
        }
        long after = usedHeapBytes();
        Reference.reachabilityFence(copies);
        return (after - before) / (double) COPIES;
    }

    /** Returns the processor time of the whole process during the task, in nanoseconds. */
    static long cpuNanos(Runnable task) {
        long before = processCpuNanos();
        task.run();
        return processCpuNanos() - before;
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static long processCpuNanos() {
        return ManagementFactory.getPlatformMXBean(com.sun.management.OperatingSystemMXBean.class)
                .getProcessCpuTime();
    }
}
