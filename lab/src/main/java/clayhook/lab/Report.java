package clayhook.lab;

import clayhook.RequestClass;
import clayhook.lab.Comparison.Interval;
import clayhook.lab.Comparison.Played;
import clayhook.lab.model.Failure;
import clayhook.lab.model.RunMetrics;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Renders the results of an experiment as one HTML page: a table and embedded charts. */
public final class Report {
    private static final int WIDTH = 900, HEIGHT = 340;
    /** Maximum number of nodes in a chart; more cannot be told apart. */
    private static final int MAX_NODES = 24;

    private static final double[] PERCENTILES = {50, 75, 90, 95, 99, 99.9};

    private Report() {}

    public static String html(String title, Experiment experiment, List<Played> played) throws IOException {
        var page = new StringBuilder("<!doctype html><html><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append(
                        "</title><style>body{font:15px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}"
                                + "td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child"
                                + "{text-align:left}img{max-width:100%}</style></head><body><h1>")
                .append(escape(title))
                .append("</h1>");
        appendTable(page, played);
        for (Failure failure : experiment.failures()) {
            page.append(String.format(
                    Locale.ROOT,
                    "<p>%s of %s after %.0f s, for %.0f s</p>",
                    failure.kind().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    escape(failure.target()),
                    failure.at(),
                    failure.lasts()));
        }
        appendChart(page, "Service by second of arrival, mean over seeds", serviceChart(played));
        for (RequestClass group : played.get(0).runs().get(0).totalsByClass().keySet()) {
            appendChart(page, "Time to answer by percentile: " + group.name(), responseTimeChart(played, group));
        }
        appendChart(page, "Part of its cores' time that each node worked", utilizationChart(played));
        return page.append("</body></html>\n").toString();
    }

    private static void appendTable(StringBuilder page, List<Played> played) {
        page.append("<table><tr><th>variant<th>service<th>to the first, 95%<th>rules</tr>");
        Played baseline = played.get(0);
        for (int i = 0; i < played.size(); i++) {
            Played variantRuns = played.get(i);
            Interval gain = Comparison.gain(baseline, variantRuns);
            String firstViolation = variantRuns.runs().stream()
                    .map(RunMetrics::firstViolation)
                    .filter(first -> first != null)
                    .findFirst()
                    .orElse("kept");
            page.append(String.format(
                    Locale.ROOT,
                    "<tr><td>%s<td>%.4f<td>%s<td>%s</tr>",
                    escape(variantRuns.variant().name()),
                    variantRuns.service(),
                    i == 0 ? "" : String.format(Locale.ROOT, "%+.4f &plusmn; %.4f", gain.mean(), gain.reach()),
                    escape(firstViolation)));
        }
        page.append("</table>");
    }

    private static XYChart serviceChart(List<Played> played) {
        XYChart chart = chart("second", "share of the benefit");
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0);
        for (Played variantRuns : played) {
            var seconds = new TreeMap<Integer, Double>();
            variantRuns.runs().forEach(run -> run.serviceBySecond()
                    .forEach((second, share) ->
                            seconds.merge(second, share / variantRuns.runs().size(), Double::sum)));
            chart.addSeries(
                            variantRuns.variant().name(),
                            new ArrayList<>(seconds.keySet()),
                            new ArrayList<>(seconds.values()))
                    .setMarker(SeriesMarkers.NONE);
        }
        return chart;
    }

    private static XYChart responseTimeChart(List<Played> played, RequestClass group) {
        XYChart chart = chart("percentile", "ms");
        for (Played variantRuns : played) {
            double[] ms = new double[PERCENTILES.length];
            for (int i = 0; i < ms.length; i++) {
                double percentile = PERCENTILES[i];
                ms[i] = mean(
                        variantRuns,
                        run -> run.totalsByClass().get(group) == null
                                ? 0
                                : run.totalsByClass().get(group).times.getValueAtPercentile(percentile) / 1e3);
            }
            chart.addSeries(variantRuns.variant().name(), PERCENTILES, ms).setMarker(SeriesMarkers.CIRCLE);
        }
        return chart;
    }

    private static double mean(Played variantRuns, ToDoubleFunction<RunMetrics> metric) {
        return variantRuns.runs().stream().mapToDouble(metric).average().orElse(0);
    }

    private static XYChart chart(String x, String y) {
        return new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
    }

    private static CategoryChart utilizationChart(List<Played> played) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .xAxisTitle("node")
                .yAxisTitle("part")
                .build();
        // All series of a chart need the same nodes: those of the first variant.
        List<String> nodes = played.get(0).runs().get(0).busy().keySet().stream()
                .limit(MAX_NODES)
                .toList();
        for (Played variantRuns : played) {
            chart.addSeries(
                    variantRuns.variant().name(),
                    nodes,
                    nodes.stream()
                            .map(node -> mean(variantRuns, run -> run.busy().getOrDefault(node, 0.0)))
                            .toList());
        }
        return chart;
    }

    private static void appendChart(StringBuilder page, String title, Chart<?, ?> chart) throws IOException {
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        page.append("<h2>")
                .append(escape(title))
                .append("</h2><img alt=\"")
                .append(escape(title))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png))
                .append("\">");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
