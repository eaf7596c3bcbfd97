package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.Scheduler

/**
 * Collects status reports until the current task of the event loop has ended, and passes those for one receiver and pool on together.
 *
 * A call completes up to some dozen pieces, mostly of a few requests. With a message for each of them, an instance that batches for a busy
 * pool spends all of its processor time on messages.
 *
 * @param R identifies a receiver
 * @param send sends reports of the named pool to a receiver
 */
internal class ReportBuffer<R>(
    private val scheduler: Scheduler,
    private val send: (receiver: R, pool: String, reports: List<PieceReport>) -> Unit,
) {
    private val reports = LinkedHashMap<Pair<R, String>, ArrayList<PieceReport>>()

    /** Adds [report], about a piece of [pool], for [receiver]. */
    fun add(
        receiver: R,
        pool: String,
        report: PieceReport,
    ) {
        if (reports.isEmpty()) scheduler.schedule(0, ::flush)
        reports.getOrPut(receiver to pool) { ArrayList() } += report
    }

    private fun flush() {
        val flushed = reports.toList()
        reports.clear()
        flushed.forEach { (target, reports) -> send(target.first, target.second, reports) }
    }
}
