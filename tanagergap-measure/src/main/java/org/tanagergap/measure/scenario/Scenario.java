package org.tanagergap.measure.scenario;

import java.util.List;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;
import org.tanagergap.measure.report.Measurement;

/** A load on a simulated fleet and the measurements taken under it. */
@FunctionalInterface
public interface Scenario {

    /** Runs the load with the given random seed and returns its measurements. */
    List<Measurement> run(FleetSettings fleet, Policy policy, long seed);
}
