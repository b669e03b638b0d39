package org.tanagergap.measure.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Plots a measured value against the age of load hints, one line for each fleet. */
public final class HintLagPlot {

    private static final int WIDTH_PIXELS = 800;
    private static final int HEIGHT_PIXELS = 500;

    private final XYChart mChart;

    public HintLagPlot(String title, String yAxis) {
        mChart =
                new XYChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(title)
                        .xAxisTitle("age of load hints, s")
                        .yAxisTitle(yAxis)
                        .build();
        mChart.getStyler().setYAxisMin(0.0);
    }

    public void add(String name, List<Double> lagSeconds, List<Double> values) {
        mChart.addSeries(name, lagSeconds, values);
    }

    /** Writes {@code <name>.svg}. */
    public void write(Path directory, String name) throws IOException {
        Files.createDirectories(directory);
        VectorGraphicsEncoder.saveVectorGraphic(
                mChart, directory.resolve(name).toString(), VectorGraphicsFormat.SVG);
    }
}
