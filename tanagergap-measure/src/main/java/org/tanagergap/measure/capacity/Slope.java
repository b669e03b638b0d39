package org.tanagergap.measure.capacity;

import java.util.ArrayList;
import java.util.List;

/** Least-squares line through points of size and cost. */
public final class Slope {

    private final String mQuantity;
    private final String mUnit;
    private final List<double[]> mPoints = new ArrayList<>();

    /**
     * Creates a line without points.
     *
     * @param quantity what is measured, for example "heap of the scheduler per queued item"
     * @param unit unit of the slope
     */
    public Slope(String quantity, String unit) {
        mQuantity = quantity;
        mUnit = unit;
    }

    /** Adds a measured cost at the given size. */
    public void add(double size, double cost) {
        mPoints.add(new double[] {size, cost});
    }

    public String quantity() {
        return mQuantity;
    }

    public String unit() {
        return mUnit;
    }

    /** Returns the cost of one more unit of size. */
    public double perUnit() {
        double meanSize = mPoints.stream().mapToDouble(p -> p[0]).average().orElseThrow();
        double meanCost = mPoints.stream().mapToDouble(p -> p[1]).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (double[] point : mPoints) {
            covariance += (point[0] - meanSize) * (point[1] - meanCost);
            variance += (point[0] - meanSize) * (point[0] - meanSize);
        }
        if (variance == 0) {
            throw new IllegalStateException(
                    "slope needs points of at least two different sizes: " + mQuantity);
        }
        return covariance / variance;
    }

    /** Returns the points as "size: cost" pairs for reports. */
    public String points() {
        StringBuilder text = new StringBuilder();
        for (double[] point : mPoints) {
            text.append(text.isEmpty() ? "" : ", ")
                    .append("%.0f: %.0f".formatted(point[0], point[1]));
        }
        return text.toString();
    }
}
