package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.choice.SelectedBackend
import io.monsoonpath.gateway.config.RouteKind
import io.monsoonpath.gateway.config.isIdempotent
import io.monsoonpath.gateway.crash.text
import io.monsoonpath.gateway.http.BufferBudget
import io.monsoonpath.gateway.http.ResponseWriter
import io.monsoonpath.gateway.http.RunningRequest
import io.monsoonpath.gateway.room.BatchAtSend
import io.monsoonpath.gateway.room.PlaceTicket
import io.monsoonpath.gateway.stage.PieceFailure
import io.monsoonpath.gateway.stage.StageDeadlines
import io.monsoonpath.gateway.stage.StageOutcome
import io.monsoonpath.gateway.stage.StageRun
import io.monsoonpath.model.BackendId
import io.monsoonpath.policy.batch.AdmissionDecision
import io.monsoonpath.policy.crash.PromptQuarantine
import io.monsoonpath.policy.deadline.ShutdownAdmission.Companion.CALL_DEVIATIONS
import io.monsoonpath.policy.deadline.ShutdownAdmission.Companion.REQUEST_DEVIATIONS
import io.monsoonpath.policy.room.PlaceDecision

/** Serves one request that has passed the filters: executes its stages, then makes attempts until one response is complete. */
internal class RequestRun(
    private val context: RequestContext,
    private val writer: ResponseWriter,
    private val services: RequestServices,
    bufferBudget: BufferBudget,
) : RunningRequest {
    private val route = context.route
    private val id = context.head.id
    private val relay = responseRelay(route.kind, writer, bufferBudget, context.head.lastEventId)
    private val triedBackends = LinkedHashSet<BackendId>()
    private var stageRun: StageRun? = null
    private var handles: List<String> = emptyList()
    private var attempt: Attempt? = null

    private val continuation = RunContinuation(context, services)

    /** The place in the pool that the request waits for or holds, from before its first attempt to the end of its last. */
    private var place: PlaceTicket? = null
    private var batchAtSend: BatchAtSend? = null
    private var attempts = 0
    private var notRunAttempts = 0
    private var stageAttempts = 0
    private var firstByteMs: Long? = null
    private var sentAtMs = Long.MIN_VALUE

    /** Whether a backend server may have run the request, or may still run it; an attempt that was not written yet does not count. */
    private val mayHaveRun: Boolean get() = attempts > (if (attempt?.isSent == false) 1 else 0)
    private val hasSharedParts = context.head.sharedPartIds.isNotEmpty()
    private val quarantineListener = ::handleQuarantineStart
    private var isFinished = false

    /** Starts serving the request. */
    fun start(): RequestRun {
        services.log.line(
            "request.begun",
            "request" to id,
            "route" to route.name,
            "pool" to context.pool,
            "workspace" to context.workspace?.id,
            "rank" to context.rank,
            "config" to context.table.revision.value,
            "targetMs" to route.targetLatencyMs,
            "remainingMs" to context.deadlineAtMs - nowMs(),
            "parts" to
                context.head.promptParts
                    .joinToString(",") { it.id.value }
                    .ifEmpty { null },
        )
        services.scheduler.schedule(context.deadlineAtMs - DEADLINE_MARGIN_MS - nowMs()) { handleDeadline() }
        if (hasSharedParts) services.crashes.quarantine.addListener(quarantineListener)
        when {
            isQuarantined() || isTooLongForShutdown(REQUEST_KIND, REQUEST_DEVIATIONS) -> Unit
            route.stages.isEmpty() -> proceed()
            else -> checkAdmission()
        }
        return this
    }

    /** Refuses the request and returns true if this process is shutting down and work of [kind] is likely to outlive it. */
    private fun isTooLongForShutdown(
        kind: String,
        deviations: Double,
    ): Boolean {
        val remainingMs = context.deadlineAtMs - nowMs()
        val admission = services.shutdownAdmission
        val canComplete = admission.canComplete(kind + route.name, remainingMs, nowMs(), deviations, context.request.receivedAtMs)
        if (mayHaveRun || canComplete) return false
        refuse(Refusal.SHUTTING_DOWN)
        return true
    }

    /** Refuses the request and returns true if a quarantine forbids to send it. */
    private fun isQuarantined(): Boolean {
        val quarantine = services.crashes.quarantine.check(context.head.sharedPartIds) ?: return false
        refuse(quarantine)
        return true
    }

    private fun refuse(quarantine: PromptQuarantine) {
        services.log.line("request.quarantined", "request" to id, "parts" to quarantine.text(), "crashes" to quarantine.crashCount)
        refuse(Refusal.QUARANTINED, (quarantine.endsAtMs - nowMs()).coerceAtLeast(0))
    }

    /** Ends the request if a new quarantine matches it, before it crashes the backend server at which it may be waiting. */
    private fun handleQuarantineStart() {
        if (isFinished || firstByteMs != null) return
        val quarantine = services.crashes.quarantine.check(context.head.sharedPartIds) ?: return
        // A request that was sent under this quarantine is its trial.
        if (quarantine.startsAtMs > sentAtMs) refuse(quarantine)
    }

    private fun checkAdmission() =
        when (val decision = StageAdmission(context, services).decide()) {
            is AdmissionDecision.Admit -> proceed()
            is AdmissionDecision.Refuse -> refuse(Refusal.OVERLOADED, decision.retryAfterMs)
        }

    override fun onCallerDisconnected() {
        if (isFinished) return
        if (route.kind == RouteKind.NonIdempotent && attempt?.isSent == true) {
            // The attempt continues: cancelling it would leave unknown whether the request has run.
            finish("caller-left", cancelAttempt = false)
        } else {
            finish("caller-left")
        }
    }

    override fun onShutdown(isEnding: Boolean) {
        when {
            isFinished -> Unit
            isEnding -> refuse(Refusal.SHUTTING_DOWN)
            attempt == null -> isTooLongForShutdown(CALL_KIND, CALL_DEVIATIONS)
        }
    }

    private fun proceed() {
        if (route.stages.isNotEmpty() && stageRun == null) runStages() else startNextAttempt()
    }

    private fun runStages() {
        stageAttempts++
        place?.release(isComplete = false)
        place = null
        val expectedCallMs = services.expectedCallMs(context)
        val run =
            StageRun(
                id,
                route.stages,
                context.head.stagePieceCounts,
                context.head.inputKey.orEmpty(),
                context.table::poolOf,
                RequestDataLocality(context, services),
                StageDeadlines(context.latencyTargetAtMs - expectedCallMs, context.expectedDisconnectAtMs - expectedCallMs),
                services.pieceExecutor,
                services.scheduler,
                ::handleStageOutcome,
                context.rank,
                services.clock,
            )
        stageRun = run
        run.start()
    }

    private fun handleStageOutcome(outcome: StageOutcome) {
        if (isFinished) return
        when (outcome) {
            is StageOutcome.Done -> {
                handles = outcome.handles
                services.log.line("stages.done", "request" to id, "tookMs" to nowMs() - context.request.receivedAtMs)
                startNextAttempt()
            }
            is StageOutcome.Failed -> handleStageFailure(outcome)
        }
    }

    private fun handleStageFailure(outcome: StageOutcome.Failed) {
        services.log.line("stages.failed", "request" to id, "stage" to outcome.stage, "reason" to outcome.reason)
        if (outcome.reason == PieceFailure.INPUT_GONE && stageAttempts < MAX_STAGE_ATTEMPTS) {
            runStages()
        } else {
            refuse(if (outcome.reason == PieceFailure.LATE) Refusal.OVERLOADED else Refusal.STAGES_FAILED)
        }
    }

    private fun startNextAttempt() {
        if (hasSharedParts) services.crashes.catchUp.whenComplete(::makeAttempt) else makeAttempt()
    }

    private fun makeAttempt() {
        if (isFinished || isQuarantined() || isTooLongForShutdown(CALL_KIND, CALL_DEVIATIONS)) return
        // The timer of the deadline may be late on a busy machine.
        if (nowMs() >= context.deadlineAtMs) return handleDeadline()
        if (needsPlace()) return
        val pool = context.table.poolOf(context.pool)
        val selected = pool?.let { services.selector.select(it, context.head.promptParts, triedBackends, nowMs()) }
        if (selected == null) return handleNoneSelected()
        triedBackends += selected.server.id
        sentAtMs = nowMs()
        batchAtSend = services.rooms.batchAt(selected.server, sentAtMs)
        services.crashes.quarantine.recordSend(context.head.sharedPartIds)
        if (attempts == 0 && notRunAttempts == 0) {
            services.retries.budgets
                .of(context.pool)
                .recordFirstAttempt()
        }
        startAttempt(selected)
    }

    private fun startAttempt(selected: SelectedBackend) {
        attempts++
        attempt =
            Attempt(
                context,
                selected,
                handles,
                resumeAfter(),
                continuation.copyFor(selected.server),
                relay,
                writer,
                services,
                ::canRetry,
                ::handleAttemptResult,
            ).also { it.start(attempts) }
    }

    /**
     * Requests a place unless the request holds one already, and returns whether the attempt has to wait for it or must not be made.
     *
     * A request that may have run cannot be refused as not run, so its further attempts are made without a place.
     */
    private fun needsPlace(): Boolean {
        if (place != null || mayHaveRun) return place?.isWaiting == true
        val ticket = services.rooms.ticket(context, ::handlePlaceDecision) ?: return false
        place = ticket
        services.rooms.enter(ticket)
        return true
    }

    private fun handlePlaceDecision(decision: PlaceDecision<PlaceTicket>) {
        if (isFinished) return
        when (decision) {
            is PlaceDecision.Start -> makeAttempt()
            is PlaceDecision.Refuse -> refuse(Refusal.OVERLOADED, decision.retryAfterMs)
        }
    }

    private fun canRetry(): Boolean {
        val pool = context.table.poolOf(context.pool) ?: return false
        val hasAttemptsLeft =
            attempts < route.maxAttempts &&
                services.retries.budgets
                    .of(context.pool)
                    .hasRemaining
        return hasAttemptsLeft && services.selector.canSelect(pool, triedBackends, nowMs())
    }

    private fun resumeAfter(): String? =
        (relay as? EventStreamRelay)?.takeIf { it.hasStarted }?.lastEventId?.toString() ?: context.head.lastEventId

    private fun handleAttemptResult(result: AttemptResult) {
        if (result != AttemptResult.FirstByte) attempt = null
        if (isFinished) {
            // The caller has left, and the attempt has continued.
            relay.discard()
            if (result != AttemptResult.FirstByte) place?.release(isComplete = result == AttemptResult.Answered)
            return
        }
        when (result) {
            AttemptResult.FirstByte -> {
                firstByteMs = firstByteMs ?: (nowMs() - context.request.receivedAtMs)
                batchAtSend?.let { services.rooms.recordFirstByte(context.pool, context.head, it, nowMs() - sentAtMs) }
                stageRun?.cancel()
            }
            AttemptResult.Answered -> {
                services.shutdownAdmission.record(REQUEST_KIND + route.name, nowMs() - context.request.receivedAtMs)
                services.shutdownAdmission.record(CALL_KIND + route.name, nowMs() - sentAtMs)
                finish(ANSWERED)
            }
            is AttemptResult.NotRun -> handleNotRun(result)
            is AttemptResult.MayHaveRun -> handleMayHaveRun(result)
        }
    }

    private fun handleNotRun(result: AttemptResult.NotRun) {
        // There is no copy, or it cannot be used: the stream ends where its engine was lost.
        if (continuation.isStarted) return refuse(Refusal.BACKEND_FAILED)
        attempts--
        notRunAttempts++
        if (result.isInputGone) {
            if (stageAttempts >= MAX_STAGE_ATTEMPTS) return refuse(Refusal.STAGES_FAILED)
            triedBackends.clear()
            return runStages()
        }
        if (notRunAttempts > MAX_NOT_RUN_ATTEMPTS && !hasPlaceToWait()) return refuseWithoutBackend()
        // An attempt that reached no backend server adds no load, so it does not consume the retry budget.
        if (result.wasSent &&
            !services.retries.budgets
                .of(context.pool)
                .tryAcquire()
        ) {
            return refuseWithoutBackend()
        }
        if (notRunAttempts <= MAX_NOT_RUN_ATTEMPTS) startNextAttempt() else waitAgain()
    }

    /** Waits for the next place if all servers of the pool have rejected the request, and refuses it if none may receive it. */
    private fun handleNoneSelected() =
        if (notRunAttempts > 0 && triedBackends.isNotEmpty() && hasPlaceToWait()) waitAgain() else refuseWithoutBackend()

    private fun hasPlaceToWait() = place != null && notRunAttempts <= MAX_NOT_RUN_ATTEMPTS_WITH_PLACE

    /** Waits for the next place, because all servers that were tried are full. */
    private fun waitAgain() {
        triedBackends.clear()
        val isWaiting = place?.let(services.rooms::requeue) == true
        if (!isWaiting) refuseWithoutBackend()
    }

    /** Refuses the request because no backend server can take it, until the first of those that want no requests now takes some again. */
    private fun refuseWithoutBackend() {
        val withheld = services.selector.gate.withheldOf(services.directory.usable(context.pool), nowMs())
        if (withheld.count > 0) services.logWithheld(id, context.pool, withheld)
        refuse(Refusal.NO_BACKEND, withheld.waitMs)
    }

    private fun handleMayHaveRun(result: AttemptResult.MayHaveRun) {
        val silentMs = result.lostAfterSilenceMs ?: return retryOrEnd(result)
        continuation.start(relay, resumeAfter(), silentMs) { copyHost ->
            when {
                isFinished -> Unit
                copyHost != null -> startAttempt(copyHost)
                else -> retryOrEnd(result)
            }
        }
    }

    private fun retryOrEnd(result: AttemptResult.MayHaveRun) {
        val isRetryAllowed =
            route.kind.isIdempotent &&
                relay.canContinue &&
                attempts < route.maxAttempts &&
                nowMs() < context.deadlineAtMs - MIN_REMAINING_MS
        if (isRetryAllowed &&
            services.retries.budgets
                .of(context.pool)
                .tryAcquire()
        ) {
            result.discard()
            if (relay.hasStarted && route.stages.isNotEmpty()) stageRun = null
            proceed()
            return
        }
        if (result.relayFailure()) return finish("answered-failure")
        refuse(Refusal.BACKEND_FAILED)
    }

    private fun handleDeadline() {
        if (isFinished) return
        val refusal = if (mayHaveRun) Refusal.BACKEND_TIMED_OUT else Refusal.OUT_OF_TIME
        attempt?.expire()
        refuse(refusal)
    }

    /** Ends the request with [reason], but never claims that it has not run if it may have run. */
    private fun refuse(
        reason: Refusal,
        waitMs: Long = 0,
    ) {
        if (isFinished) return
        val refusal = if (reason.isNotRun && mayHaveRun) Refusal.BACKEND_FAILED else reason
        if (relay.hasStarted) writer.abort() else writer.refuse(refusal, retryAfterMs(refusal, waitMs))
        finish(if (relay.hasStarted) "cut" else refusal.name)
    }

    private fun retryAfterMs(
        refusal: Refusal,
        waitMs: Long,
    ): Long =
        when {
            !refusal.isNotRun -> 0
            // Another instance can serve the request at once.
            refusal == Refusal.SHUTTING_DOWN -> 0
            // The wait is known, and it says nothing about the load of the route.
            refusal == Refusal.QUARANTINED -> waitMs
            else -> services.retries.afterPolicy.recordRefusal(route.name, waitMs, nowMs(), id.hashCode())
        }

    private fun finish(
        outcome: String,
        cancelAttempt: Boolean = true,
    ) {
        isFinished = true
        if (hasSharedParts) services.crashes.quarantine.removeListener(quarantineListener)
        if (cancelAttempt) attempt?.cancel()
        continuation.release(outcome == ANSWERED)
        releasePlace(outcome == ANSWERED, isAttemptContinuing = !cancelAttempt && attempt != null)
        stageRun?.cancel()
        relay.discard()
        val tookMs = nowMs() - context.request.receivedAtMs
        services.log.line(
            "request.ended",
            "request" to id,
            "outcome" to outcome,
            "firstByteMs" to firstByteMs,
            "tookMs" to tookMs,
            "attempts" to attempts,
            "turnedAway" to notRunAttempts,
            "lastEvent" to (relay as? EventStreamRelay)?.lastEventId,
        )
        services.metrics.requestEnded(route.name, outcome, tookMs)
    }

    /** Releases the place at the end of the request, or of an attempt that continues without its caller: at the latest at the deadline. */
    private fun releasePlace(
        isComplete: Boolean,
        isAttemptContinuing: Boolean,
    ) {
        val held = place ?: return
        if (!isAttemptContinuing) return held.release(isComplete)
        services.scheduler.schedule(context.deadlineAtMs - nowMs()) { held.release(isComplete = false) }
    }

    private fun nowMs() = services.clock.nowMs()

    companion object {
        private const val ANSWERED = "answered"

        /** How long before its deadline an unfinished request is refused, to allow for a late timer and network latency. */
        const val DEADLINE_MARGIN_MS = 15L

        /** With less time remaining, another attempt would be useless. */
        const val MIN_REMAINING_MS = 50L
        const val MAX_STAGE_ATTEMPTS = 2

        // The kinds of work whose durations are recorded for each route: all of a request, and only its call to the backend server.
        const val REQUEST_KIND = "request "
        const val CALL_KIND = "call "
        const val MAX_NOT_RUN_ATTEMPTS = 2

        /** A request with a place may wait for the servers to release slots between its attempts. */
        const val MAX_NOT_RUN_ATTEMPTS_WITH_PLACE = 4
    }
}
