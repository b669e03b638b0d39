package org.tanagergap.measure.scenario;

import java.util.List;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;
import org.tanagergap.measure.report.Measurement;

/** Load whose effect is measured. */
@FunctionalInterface
public interface Scenario {

    /** Runs the load with a seed and returns its measurements. */
    List<Measurement> run(FleetSettings fleet, Policy policy, long seed);
}
