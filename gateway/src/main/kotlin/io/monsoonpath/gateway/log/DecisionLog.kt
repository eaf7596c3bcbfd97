package io.monsoonpath.gateway.log

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/**
 * A structured log that contains one JSON object per line.
 *
 * A background thread writes the lines. Callers never block: if the queue is full, the line is dropped, and the number of dropped lines is
 * logged with the next lines that are written.
 *
 * @param wallClockMs returns the wall-clock time in Unix milliseconds, which is used only as the time stamp of the lines
 */
class DecisionLog(
    private val out: OutputStream,
    private val wallClockMs: () -> Long = System::currentTimeMillis,
    capacity: Int = QUEUE_LINES,
) {
    private val queue = ArrayBlockingQueue<String>(capacity)
    private val droppedLines = AtomicLong()
    private val writer = Thread(::writeLines, "log").apply { isDaemon = true }

    /** The number of lines dropped since the start. */
    val dropped: Long get() = droppedLines.get()

    /** Starts the thread that writes the lines. */
    fun start() = writer.start()

    /** Adds a line for [event] with [fields]. Numbers and booleans are written without quotes, and fields that are null are omitted. */
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

    /** Adds a line for the internal error [cause] in [step]. I/O errors are ignored: closed connections are logged by their users. */
    fun failure(
        step: String,
        cause: Throwable,
    ) {
        if (cause is IOException) return
        line("internal.error", "step" to step, "error" to cause, "at" to cause.stackTrace.take(STACK_LINES).joinToString(" < "))
    }

    /** Waits until the queue is empty, but at most [timeoutMs] milliseconds. */
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
        /** The number of lines that a busy instance adds in about ten seconds. */
        const val QUEUE_LINES = 4_096
        const val BATCH_LINES = 256
        const val LINE_CHARS = 256
        const val STACK_LINES = 8
        const val NS_PER_MS = 1_000_000L
    }
}

/** Lines that wait to be written hold what callers send, such as paths. */
private const val MAX_VALUE_CHARS = 2_048

private fun appendQuoted(
    text: StringBuilder,
    value: String,
) {
    text.append('"')
    for (c in value.take(MAX_VALUE_CHARS)) {
        when {
            c == '"' || c == '\\' -> text.append('\\').append(c)
            c < ' ' -> text.append("\\u%04x".format(c.code))
            else -> text.append(c)
        }
    }
    text.append('"')
}
