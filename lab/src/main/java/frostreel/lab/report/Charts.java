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

/** Charts as PNG. */
public final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;

    private Charts() {}

    /** One line a name, one point a second. */
    public static void bySecond(Path file, String title, String axis, Map<String, double[]> lines) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection data = new XYSeriesCollection();
        lines.forEach((name, values) -> {
            XYSeries series = new XYSeries(name);
            for (int s = 0; s < values.length; s++) {
                series.add(s, values[s]);
            }
            data.addSeries(series);
        });
        JFreeChart chart = ChartFactory.createXYLineChart(
                title, "second", axis, data, PlotOrientation.VERTICAL, true, false, false);
        chart.getXYPlot().getRangeAxis().setRange(0, 1.02);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }
}
