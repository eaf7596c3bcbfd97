package io.monsoonpath.gateway.crash

import io.monsoonpath.coordination.crash.CrashId
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.ProbeResult
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ClockMs

/** What has become of the process of a server to which a connection was lost. */
enum class ServerFate(
    /** Whether nothing that the process worked on can still be under way where this instance reaches it. */
    val isOutOfReach: Boolean,
) {
    /** It has ended, and with it all its work. */
    ENDED(isOutOfReach = true),

    /** It has sent nothing for seconds and answers no attempt to connect. */
    UNREACHABLE(isOutOfReach = true),

    /** It runs on, and may still work on what it has received. */
    RUNNING(isOutOfReach = false),

    /** Nothing was found out in time. */
    UNKNOWN(isOutOfReach = false),
}

/**
 * Finds out what has become of servers to which connections were lost. Must be used on the event loop only.
 *
 * A lost connection does not show that the work has ended: a server that loses an answer works on. A process has certainly ended if its
 * address refuses connections while no other connection to it is open, or if its successor has registered. An entry that is only removed
 * proves nothing, since servers that leave serve on without one.
 *
 * @param isConnected returns whether a connection of this instance to the server is open
 * @param probe opens a connection to a server to find out whether it still runs
 */
class ServerFates(
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val directory: BackendDirectory,
    private val log: DecisionLog,
    private val isConnected: (BackendServer) -> Boolean,
    private val probe: (BackendServer, (ProbeResult) -> Unit) -> Unit,
) {
    private class Question(
        val askedAtMs: Long,
        val silentMs: Long,
        val onFound: (ServerFate) -> Unit,
    )

    /** The open questions about one process. */
    private class Inquiry(
        val server: BackendServer,
    ) {
        val questions = LinkedHashSet<Question>()
        var isProbing = false
        var isProbeScheduled = false
    }

    private val inquiries = HashMap<CrashId, Inquiry>()

    init {
        directory.onChange(::handleDirectoryChange)
    }

    /**
     * Calls [onFound] with the fate of [server], to which a connection has just been lost after [silentMs] milliseconds without a byte from
     * it: at once, or within [TIMEOUT_MS].
     */
    fun find(
        server: BackendServer,
        silentMs: Long,
        onFound: (ServerFate) -> Unit,
    ) {
        if (hasSuccessor(server)) return onFound(ServerFate.ENDED)
        val inquiry = inquiries.getOrPut(CrashId(server.id, server.startedAtUnixMs)) { Inquiry(server) }
        val question = Question(clock.nowMs(), silentMs, onFound)
        inquiry.questions += question
        scheduler.schedule(TIMEOUT_MS) { answer(inquiry, ServerFate.UNKNOWN, "no evidence in time") { it === question } }
        probeUnlessProbing(inquiry)
    }

    private fun hasSuccessor(server: BackendServer): Boolean =
        directory[server.id]?.let { it.startedAtUnixMs > server.startedAtUnixMs } ?: false

    private fun handleDirectoryChange(backend: BackendId) {
        inquiries.values
            .filter { it.server.id == backend && hasSuccessor(it.server) }
            .forEach { inquiry -> answer(inquiry, ServerFate.ENDED, "new incarnation") { true } }
    }

    private fun probeUnlessProbing(inquiry: Inquiry) {
        if (inquiry.isProbing || inquiry.questions.isEmpty()) return
        inquiry.isProbing = true
        val startedAtMs = clock.nowMs()
        probe(inquiry.server) { result ->
            inquiry.isProbing = false
            handleProbe(inquiry, result, startedAtMs)
            scheduleProbe(inquiry)
        }
    }

    private fun scheduleProbe(inquiry: Inquiry) {
        if (inquiry.isProbeScheduled || inquiry.questions.isEmpty()) return
        inquiry.isProbeScheduled = true
        scheduler.schedule(PROBE_INTERVAL_MS) {
            inquiry.isProbeScheduled = false
            probeUnlessProbing(inquiry)
        }
    }

    private fun handleProbe(
        inquiry: Inquiry,
        result: ProbeResult,
        startedAtMs: Long,
    ) = when (result) {
        // A server at its limit of connections may refuse more of them, but it keeps those that it has.
        ProbeResult.REFUSED -> if (isConnected(inquiry.server)) Unit else answer(inquiry, ServerFate.ENDED, "connection refused") { true }
        // A server that crashes may accept connections for a moment longer.
        ProbeResult.CONNECTED ->
            answer(inquiry, ServerFate.RUNNING, "connection accepted") { startedAtMs - it.askedAtMs >= PROBE_INTERVAL_MS }
        // A single attempt to connect may also be lost on the way, or because the server has too many of them.
        ProbeResult.NO_RESPONSE ->
            answer(inquiry, ServerFate.UNREACHABLE, "no response") { it.silentMs >= MIN_SILENCE_MS }
    }

    /** Answers the questions that [isAnswered] selects with [fate]. */
    private fun answer(
        inquiry: Inquiry,
        fate: ServerFate,
        evidence: String,
        isAnswered: (Question) -> Boolean,
    ) {
        val answered = inquiry.questions.filter(isAnswered)
        if (answered.isEmpty()) return
        inquiry.questions -= answered.toSet()
        val server = inquiry.server
        if (inquiry.questions.isEmpty()) inquiries.remove(CrashId(server.id, server.startedAtUnixMs), inquiry)
        log.line("backend.fate", "backend" to server.id, "fate" to fate, "evidence" to evidence, "questions" to answered.size)
        answered.forEach { it.onFound(fate) }
    }

    companion object {
        /** The longest time to an answer, in milliseconds. Callers of streams wait at least two seconds for the next event. */
        const val TIMEOUT_MS = 1_500L

        /** How long after the loss of a connection a server must accept another one to run on, in milliseconds. */
        const val PROBE_INTERVAL_MS = 100L

        /** Longer than the pauses of a stream, and shorter than a dead connection stays undetected, in milliseconds. */
        const val MIN_SILENCE_MS = 2_000L
    }
}
