package io.monsoonpath.app.load

import org.jfree.chart.ChartFactory
import org.jfree.chart.JFreeChart
import org.jfree.data.xy.XYSeries
import org.jfree.data.xy.XYSeriesCollection
import org.jfree.svg.SVGGraphics2D
import java.awt.geom.Rectangle2D
import java.util.Locale

/** Formats the results of a load and the cost per stage. */
internal class LoadReport(
    private val flows: List<FlowSummary>,
    private val costs: List<StageCost>,
) {
    /** The lowest attainment of all flows, or 1 if there are no flows. */
    val worstAttainment: Double get() = flows.minOfOrNull { it.attainment } ?: 1.0

    /** Returns the report as text. */
    fun toText(): String =
        buildString {
            appendLine("%-20s %8s %10s %8s %8s %8s %8s".format("flow", "sent", "attained", "p50 ms", "p95 ms", "p99 ms", "max ms"))
            flows.forEach { appendLine(it.toLine()) }
            appendLine("worst attainment: ${percent(worstAttainment)}")
            flows.forEach { flow -> flow.refusals.forEach { (reason, count) -> appendLine("${flow.name}: $count refused: $reason") } }
            flows.forEach { flow -> flow.failures.forEach { (cause, count) -> appendLine("${flow.name}: $count failed: $cause") } }
            appendLine("refused inside the rate: ${flows.sumOf { it.refusedWithinRate }}")
            costs.forEach { appendLine(it.toLine()) }
        }

    private fun FlowSummary.toLine() =
        "%-20s %8d %10s %8d %8d %8d %8d".format(
            Locale.ROOT,
            name,
            sent,
            percent(attainment),
            latencies.getValueAtPercentile(50.0),
            latencies.getValueAtPercentile(95.0),
            latencies.getValueAtPercentile(99.0),
            latencies.maxValue,
        )

    private fun StageCost.toLine(): String {
        val answeredInTime = flows.sumOf { it.answeredInTime }
        val workPerAnswer =
            if (answeredInTime ==
                0L
            ) {
                "none in time"
            } else {
                "%.1f ms for each answer in time".format(Locale.ROOT, workMs.toDouble() / answeredInTime)
            }
        return "stage $stage: $attempts attempts, $workMs ms of work, $workPerAnswer"
    }

    /** Returns an SVG plot of latency by percentile, with one line per flow. */
    fun toSvg(): String {
        val series = XYSeriesCollection()
        flows.forEach { series.addSeries(it.toSeries()) }
        return ChartFactory.createXYLineChart("Latency of whole answers", "percentile", "ms", series).toSvg()
    }

    private fun FlowSummary.toSeries(): XYSeries {
        val line = XYSeries(name)
        if (latencies.totalCount > 0) PERCENTILES.forEach { line.add(it, latencies.getValueAtPercentile(it)) }
        return line
    }

    private fun JFreeChart.toSvg(): String {
        val graphics = SVGGraphics2D(PLOT_WIDTH, PLOT_HEIGHT)
        draw(graphics, Rectangle2D.Double(0.0, 0.0, PLOT_WIDTH, PLOT_HEIGHT))
        return graphics.svgDocument
    }

    private companion object {
        const val PLOT_WIDTH = 900.0
        const val PLOT_HEIGHT = 500.0
        val PERCENTILES = (1..99).map { it.toDouble() } + listOf(99.5, 99.9)
    }
}

private fun percent(fraction: Double) = "%.2f %%".format(Locale.ROOT, fraction * 100)
