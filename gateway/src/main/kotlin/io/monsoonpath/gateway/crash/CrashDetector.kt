package io.monsoonpath.gateway.crash

import io.monsoonpath.coordination.crash.CrashId
import io.monsoonpath.coordination.crash.ReportedSuspect
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.directory.BackendState
import io.monsoonpath.gateway.http.ProbeResult
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PromptPartId

/**
 * An attempt that its backend server has not yet proven that it can answer.
 *
 * @property parts the parts of its prompt that other requests may share
 */
class UnprovenAttempt(
    val server: BackendServer,
    val parts: Set<PromptPartId>,
    val sentAtMs: Long,
)

/**
 * Detects crashes of backend servers by the loss of attempts, and determines which requests may have caused them.
 *
 * A lost connection alone is no crash: servers also lose single answers, and connections are reset on the way. A crash is certain if the
 * server then refuses new connections, or if its entry is removed or replaced by that of a new incarnation soon afterwards. Servers that
 * are leaving are expected to go. Must be used on the event loop only.
 *
 * @param probe opens a connection to a server to find out whether it still runs
 * @param onCrash called with each crash and the requests of this instance that may have caused it; again if more of them are lost later
 */
class CrashDetector(
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val directory: BackendDirectory,
    private val log: DecisionLog,
    private val probe: (BackendServer, (ProbeResult) -> Unit) -> Unit,
    private val onCrash: (CrashId, Long, List<ReportedSuspect>) -> Unit,
) {
    /** A server that lost attempts and may have crashed at [atMs], the time of the first loss since its last answer. */
    private class Loss(
        val server: BackendServer,
        var atMs: Long,
    ) {
        var lastLossAtMs = atMs
        var hasAnsweredSince = false

        /** The lost attempts, with the times of their losses. */
        val suspects = LinkedHashMap<UnprovenAttempt, Long>()

        /** The suspects whose answers may be complete, with the actions to run if the server turns out to run on. */
        val possiblyAnswered = HashMap<UnprovenAttempt, () -> Unit>()
        var isProbing = false
        var hasLossDuringProbe = false
        var isProbeScheduled = false
        var isConfirmed = false
    }

    private val running = HashMap<CrashId, LinkedHashSet<UnprovenAttempt>>()
    private val losses = HashMap<CrashId, Loss>()

    init {
        directory.onChange(::handleDirectoryChange)
    }

    /** Records that [attempt] was sent. */
    fun recordStart(attempt: UnprovenAttempt) {
        running.getOrPut(crashIdOf(attempt.server)) { LinkedHashSet() } += attempt
    }

    /** Records that [attempt] was answered by its server, which therefore runs on. */
    fun recordAnswer(attempt: UnprovenAttempt) {
        recordEnd(attempt)
        losses[crashIdOf(attempt.server)]?.hasAnsweredSince = true
    }

    /** Records that [attempt] was refused or cancelled, so that it can no longer crash its server. */
    fun recordEnd(attempt: UnprovenAttempt) {
        val id = crashIdOf(attempt.server)
        val attempts = running[id] ?: return
        attempts -= attempt
        if (attempts.isEmpty()) running.remove(id)
    }

    /** Records that the connection of [attempt] was lost. */
    fun recordLoss(attempt: UnprovenAttempt) {
        lossOf(attempt)?.let { record(attempt, it) }
    }

    /**
     * Records that the answer to [attempt] ended with its connection. That is how an answer without a length ends, but also how a server
     * ends that crashes, so [onSurvived] is called only if the server is found to run on.
     */
    fun recordEndWithConnection(
        attempt: UnprovenAttempt,
        onSurvived: () -> Unit,
    ) {
        lossOf(attempt)?.let { record(attempt, it, onSurvived) }
    }

    private fun lossOf(attempt: UnprovenAttempt): Loss? {
        recordEnd(attempt)
        val id = crashIdOf(attempt.server)
        losses[id]?.let { return it }
        if (!isExpectedToRun(attempt.server)) return null
        return Loss(attempt.server, clock.nowMs()).also {
            losses[id] = it
            scheduleExpiry(id, it)
        }
    }

    /** Discards [loss] when the time in which its last loss can turn out to be a crash has passed. */
    private fun scheduleExpiry(
        id: CrashId,
        loss: Loss,
    ) {
        val expiresAtMs = loss.lastLossAtMs + CONFIRMATION_TIMEOUT_MS
        scheduler.schedule(expiresAtMs - clock.nowMs()) {
            if (loss.lastLossAtMs + CONFIRMATION_TIMEOUT_MS > expiresAtMs) scheduleExpiry(id, loss) else losses.remove(id)
        }
    }

    private fun record(
        attempt: UnprovenAttempt,
        loss: Loss,
        onSurvived: (() -> Unit)? = null,
    ) {
        val id = crashIdOf(attempt.server)
        if (loss.isConfirmed) return report(id, loss, listOf(attempt))
        val nowMs = clock.nowMs()
        // What the server received after its last answer must not be cleared by it, and what is lost after a crash must not date it.
        if (loss.hasAnsweredSince) loss.atMs = nowMs
        loss.hasAnsweredSince = false
        loss.lastLossAtMs = nowMs
        loss.suspects.values.removeIf { nowMs - it > CONFIRMATION_TIMEOUT_MS }
        loss.possiblyAnswered.keys.retainAll(loss.suspects.keys)
        loss.suspects[attempt] = nowMs
        if (onSurvived != null) loss.possiblyAnswered[attempt] = onSurvived
        loss.hasLossDuringProbe = loss.isProbing
        probeUnlessProbing(id, loss)
    }

    /**
     * Probes the server of [loss]. A connection proves that the attempts that ended well before it did not crash the server. It proves
     * nothing about those that ended just before, because a server that crashes may accept connections for a moment longer.
     */
    private fun startProbe(
        id: CrashId,
        loss: Loss,
    ) {
        loss.isProbing = true
        loss.hasLossDuringProbe = false
        val provable = loss.possiblyAnswered.keys.filter { clock.nowMs() - loss.suspects.getValue(it) >= SURVIVAL_MS }
        probe(loss.server) { handleProbe(id, loss, provable, it) }
    }

    private fun handleProbe(
        id: CrashId,
        loss: Loss,
        provable: List<UnprovenAttempt>,
        result: ProbeResult,
    ) {
        loss.isProbing = false
        when (result) {
            ProbeResult.REFUSED -> confirm(id, "connection refused")
            ProbeResult.CONNECTED -> {
                loss.suspects.keys -= provable.toSet()
                loss.hasAnsweredSince = loss.suspects.isEmpty()
                provable.mapNotNull(loss.possiblyAnswered::remove).forEach { it() }
                if (loss.possiblyAnswered.isNotEmpty()) scheduleProbe(id, loss)
            }
            ProbeResult.NO_RESPONSE -> Unit
        }
        if (loss.hasLossDuringProbe) probeUnlessProbing(id, loss)
    }

    private fun scheduleProbe(
        id: CrashId,
        loss: Loss,
    ) {
        if (loss.isProbeScheduled) return
        loss.isProbeScheduled = true
        scheduler.schedule(SURVIVAL_MS) {
            loss.isProbeScheduled = false
            probeUnlessProbing(id, loss)
        }
    }

    private fun probeUnlessProbing(
        id: CrashId,
        loss: Loss,
    ) {
        if (!loss.isProbing && !loss.isConfirmed && losses[id] === loss) startProbe(id, loss)
    }

    private fun isExpectedToRun(server: BackendServer): Boolean =
        directory[server.id]?.let { it.startedAtUnixMs == server.startedAtUnixMs && it.state == BackendState.READY } == true

    private fun handleDirectoryChange(backend: BackendId) {
        val current = directory[backend]
        losses
            .filter { (id, _) -> id.backend == backend && id.startedAtUnixMs != current?.startedAtUnixMs }
            .keys
            .forEach { confirm(it, if (current == null) "entry removed" else "new incarnation") }
    }

    private fun confirm(
        id: CrashId,
        evidence: String,
    ) {
        val loss = losses[id]?.takeUnless { it.isConfirmed } ?: return
        loss.isConfirmed = true
        // The connections of these attempts are broken too, even if this process has not noticed it yet.
        val suspects = loss.suspects.keys + running.remove(id).orEmpty()
        log.line(
            "backend.crashed",
            "backend" to id.backend,
            "pool" to loss.server.pool,
            "evidence" to evidence,
            "suspects" to suspects.size,
        )
        report(id, loss, suspects)
    }

    private fun report(
        id: CrashId,
        loss: Loss,
        suspects: Collection<UnprovenAttempt>,
    ) = onCrash(id, loss.atMs, suspects.map { ReportedSuspect((loss.atMs - it.sentAtMs).coerceAtLeast(0), it.parts) })

    private fun crashIdOf(server: BackendServer) = CrashId(server.id, server.startedAtUnixMs)

    private companion object {
        /** The entry of a crashed server expires after three heartbeats, and its removal is known everywhere within seconds. */
        const val CONFIRMATION_TIMEOUT_MS = 8_000L

        /** How long a server must go on accepting connections after the end of an answer to have survived it. */
        const val SURVIVAL_MS = 100L
    }
}
