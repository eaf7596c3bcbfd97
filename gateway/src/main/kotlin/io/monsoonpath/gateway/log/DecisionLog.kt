package io.monsoonpath.gateway.log

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/**
 * Structured log lines, one JSON object each.
 *
 * Writers never wait: a line that finds the queue full is dropped and counted, and the next line that is written says how many were.
 *
 * @param wallClockMs the time of day in Unix milliseconds, for the reader of the log alone
 */
class DecisionLog(
    private val out: OutputStream,
    private val wallClockMs: () -> Long = System::currentTimeMillis,
    capacity: Int = QUEUE_LINES,
) {
    private val queue = ArrayBlockingQueue<String>(capacity)
    private val droppedLines = AtomicLong()
    private val writer = Thread(::writeLines, "log").apply { isDaemon = true }

    /** The lines dropped since the start. */
    val dropped: Long get() = droppedLines.get()

    /** Starts the thread that writes. */
    fun start() = writer.start()

    /** Adds a line for [event] with [fields]; numbers and booleans are written bare, null fields are left out. */
    fun line(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        val text = StringBuilder(LINE_CHARS)
        text.append("{\"ts\":").append(wallClockMs()).append(",\"event\":")
        appendQuoted(text, event)
        for ((name, value) in fields) {
            if (value == null) continue
            text.append(',')
            appendQuoted(text, name)
            text.append(':')
            if (value is Number || value is Boolean) text.append(value) else appendQuoted(text, value.toString())
        }
        text.append("}\n")
        if (!queue.offer(text.toString())) droppedLines.incrementAndGet()
    }

    /** Adds a line for an error at [step] that is no fault of a peer; connections that end are told where they matter. */
    fun failure(
        step: String,
        cause: Throwable,
    ) {
        if (cause is IOException) return
        line("internal.error", "step" to step, "error" to cause, "at" to cause.stackTrace.take(STACK_LINES).joinToString(" < "))
    }

    /** Writes what is queued now, waiting at most [timeoutMs]. */
    fun flush(timeoutMs: Long) {
        val endNs = System.nanoTime() + timeoutMs * NS_PER_MS
        while (queue.isNotEmpty() && System.nanoTime() < endNs) Thread.onSpinWait()
    }

    private fun writeLines() {
        val batch = ArrayList<String>()
        var reportedDropCount = 0L
        while (true) {
            batch.add(queue.take())
            queue.drainTo(batch, BATCH_LINES)
            val dropCount = droppedLines.get()
            if (dropCount > reportedDropCount) {
                batch.add("{\"ts\":${wallClockMs()},\"event\":\"log.dropped\",\"lines\":${dropCount - reportedDropCount}}\n")
                reportedDropCount = dropCount
            }
            out.write(batch.joinToString("").toByteArray())
            out.flush()
            batch.clear()
        }
    }

    private companion object {
        /** About ten seconds of a busy instance's lines. */
        const val QUEUE_LINES = 4_096
        const val BATCH_LINES = 256
        const val LINE_CHARS = 256
        const val STACK_LINES = 8
        const val NS_PER_MS = 1_000_000L
    }
}

private fun appendQuoted(
    text: StringBuilder,
    value: String,
) {
    text.append('"')
    for (c in value) {
        when {
            c == '"' || c == '\\' -> text.append('\\').append(c)
            c < ' ' -> text.append("\\u%04x".format(c.code))
            else -> text.append(c)
        }
    }
    text.append('"')
}
