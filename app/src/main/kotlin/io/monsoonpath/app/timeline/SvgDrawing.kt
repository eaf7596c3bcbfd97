package io.monsoonpath.app.timeline

import org.jfree.svg.SVGGraphics2D
import java.awt.BasicStroke
import java.awt.Color
import java.awt.Graphics2D
import java.awt.geom.Ellipse2D
import java.awt.geom.Line2D

/** Returns the timeline as a self-contained SVG image with a lane for each process, a dot for each event and a line for each message. */
internal fun Timeline.toSvg(): String {
    val lanes = entries.map { it.record.process }.distinct().sorted()
    val kinds = entries.map { it.record.event.kind() }.distinct().sorted()
    val height = TOP + lanes.size * LANE_HEIGHT + kinds.size * LEGEND_HEIGHT + TOP
    val graphics = SVGGraphics2D(WIDTH.toDouble(), height.toDouble())
    SvgDrawing(graphics, this, lanes, kinds).draw()
    return graphics.svgDocument
}

private class SvgDrawing(
    private val graphics: Graphics2D,
    private val timeline: Timeline,
    private val lanes: List<ProcessId>,
    private val kinds: List<String>,
) {
    private val lastMs = (timeline.entries.maxOfOrNull { it.commonMs } ?: 0L).coerceAtLeast(1)

    fun draw() {
        lanes.forEach { drawLane(it) }
        timeline.entries.forEach { entry -> entry.sendIndex?.let { drawMessage(timeline.entries[it], entry) } }
        timeline.entries.forEach { drawEvent(it) }
        kinds.forEachIndexed { i, kind -> drawLegend(kind, TOP + lanes.size * LANE_HEIGHT + i * LEGEND_HEIGHT) }
    }

    private fun drawLane(process: ProcessId) {
        graphics.paint = Color.LIGHT_GRAY
        graphics.draw(Line2D.Double(LEFT, yOf(process), WIDTH - RIGHT, yOf(process)))
        graphics.paint = Color.BLACK
        graphics.drawString(process.toString(), MARGIN, yOf(process).toFloat())
    }

    private fun drawMessage(
        sent: TimelineEntry,
        received: TimelineEntry,
    ) {
        graphics.paint = MESSAGE_COLOR
        graphics.stroke = BasicStroke(MESSAGE_STROKE)
        graphics.draw(Line2D.Double(xOf(sent), yOf(sent.record.process), xOf(received), yOf(received.record.process)))
    }

    private fun drawEvent(entry: TimelineEntry) {
        graphics.paint = colorOf(entry.record.event.kind())
        graphics.fill(Ellipse2D.Double(xOf(entry) - RADIUS, yOf(entry.record.process) - RADIUS, 2 * RADIUS, 2 * RADIUS))
    }

    private fun drawLegend(
        kind: String,
        y: Int,
    ) {
        graphics.paint = colorOf(kind)
        graphics.fill(Ellipse2D.Double(LEFT - RADIUS, y - 2 * RADIUS, 2 * RADIUS, 2 * RADIUS))
        graphics.paint = Color.BLACK
        graphics.drawString(kind, (LEFT + 2 * RADIUS).toFloat(), y.toFloat())
    }

    private fun xOf(entry: TimelineEntry) = LEFT + (WIDTH - LEFT - RIGHT) * entry.commonMs / lastMs

    private fun yOf(process: ProcessId) = (TOP + lanes.indexOf(process) * LANE_HEIGHT).toDouble()

    /** Returns the color for [kind]. The hues of all kinds are evenly spaced. */
    private fun colorOf(kind: String): Color = Color.getHSBColor(kinds.indexOf(kind) / kinds.size.toFloat(), SATURATION, BRIGHTNESS)
}

private const val WIDTH = 1_400
private const val TOP = 40
private const val LEFT = 220.0
private const val RIGHT = 40.0
private const val MARGIN = 10f
private const val LANE_HEIGHT = 60
private const val LEGEND_HEIGHT = 18
private const val RADIUS = 4.0
private const val MESSAGE_STROKE = 0.5f
private const val SATURATION = 0.85f
private const val BRIGHTNESS = 0.8f
private val MESSAGE_COLOR = Color(0x80, 0x80, 0x80, 0x80)
