package frostreel.lab.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Charts of results, as PNG files. */
public final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    /** All values are shares; the line of a full share stays visible below the edge. */
    private static final double TOP_OF_RANGE = 1.02;

    private Charts() {}

    /** Writes a chart with a line for each name and a point for each second. */
    public static void bySecond(Path file, String title, String axis, Map<String, double[]> lines) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection data = new XYSeriesCollection();
        lines.forEach((name, values) -> {
            XYSeries series = new XYSeries(name);
            for (int second = 0; second < values.length; second++) {
                series.add(second, values[second]);
            }
            data.addSeries(series);
        });
        JFreeChart chart = ChartFactory.createXYLineChart(
                title, "second", axis, data, PlotOrientation.VERTICAL, true, false, false);
        chart.getXYPlot().getRangeAxis().setRange(0, TOP_OF_RANGE);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }
}
