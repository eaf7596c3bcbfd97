package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.config.RouteKind
import io.monsoonpath.gateway.config.isIdempotent
import io.monsoonpath.gateway.http.CallerAnswer
import io.monsoonpath.gateway.http.RunningRequest
import io.monsoonpath.gateway.stage.DataLocality
import io.monsoonpath.gateway.stage.PieceFailure
import io.monsoonpath.gateway.stage.StageDeadlines
import io.monsoonpath.gateway.stage.StageOutcome
import io.monsoonpath.gateway.stage.StageRun
import io.monsoonpath.gateway.stage.expectedStageMs
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.policy.batch.AdmissionDecision
import io.monsoonpath.policy.batch.StageEstimate
import io.monsoonpath.policy.batch.decideAdmission
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames

/** Serves one request that has passed the filters: its stages, then attempts at backend servers until one answer is whole. */
internal class RequestRun(
    private val context: RequestContext,
    private val answer: CallerAnswer,
    private val services: Services,
) : RunningRequest {
    private val route = context.route
    private val id = context.head.id
    private val relay: AnswerRelay =
        if (route.kind is RouteKind.Stream) EventRelay(answer, context.head.lastEventId?.toLongOrNull()) else WholeRelay(answer)
    private val tried = LinkedHashSet<BackendId>()
    private var stageRun: StageRun? = null
    private var handles: List<String> = emptyList()
    private var attempt: Attempt? = null
    private var attempts = 0
    private var turnedAway = 0
    private var stageTries = 0
    private var mayHaveRun = false
    private var firstByteMs: Long? = null
    private var isOver = false

    /** Begins to serve the request. */
    fun start(): RequestRun {
        services.log.line(
            "request.begun",
            "request" to id,
            "route" to route.name,
            "pool" to context.pool,
            "workspace" to context.workspace?.id,
            "rank" to context.rank,
            "config" to context.table.revision.value,
            "remainingMs" to context.endAtMs - nowMs(),
        )
        services.later.schedule(context.endAtMs - END_MARGIN_MS - nowMs()) { timedOut() }
        if (route.stages.isEmpty()) proceed() else decide()
        return this
    }

    private fun decide() {
        val stages = expectedStages()
        when (val decision = decideAdmission(stages, route.targetLatencyMs, CALL_MS, context.rank, id.hashCode())) {
            is AdmissionDecision.Admit -> {
                logDecision("request.admitted", decision, stages)
                proceed()
            }
            is AdmissionDecision.Refuse -> {
                logDecision("request.not-admitted", decision, stages)
                refuse(Refusal.OVERLOADED, decision.retryAfterMs)
            }
        }
    }

    private fun expectedStages(): List<StageEstimate> =
        route.stages.mapIndexed { i, stage ->
            val workMs = expectedStageMs(context.table.poolOf(stage.pool), context.head.stagePieces.getOrElse(i) { 1 })
            val waitMs = services.pieces.backlogMs(stage.pool)
            StageEstimate(stage.after, workMs, waitMs, services.standingWaits.observe(stage.pool, waitMs, nowMs()))
        }

    private fun logDecision(
        event: String,
        decision: AdmissionDecision,
        stages: List<StageEstimate>,
    ) = services.log.line(
        event,
        "request" to id,
        "expectedMs" to decision.expectedMs,
        "targetMs" to route.targetLatencyMs,
        "waitsMs" to stages.map { it.waitMs },
        "standing" to stages.any { it.hasStandingQueue },
        "rank" to context.rank,
        "retryAfterMs" to (decision as? AdmissionDecision.Refuse)?.retryAfterMs,
    )

    override fun callerLeft() {
        if (isOver) return
        if (route.kind == RouteKind.NonIdempotent && attempt != null) {
            // It runs on: stopping it would leave open whether it has run.
            finish("caller-left", cancelAttempt = false)
        } else {
            finish("caller-left")
        }
    }

    private fun proceed() {
        if (route.stages.isNotEmpty() && stageRun == null) runStages() else tryNext()
    }

    private fun runStages() {
        stageTries++
        val run =
            StageRun(
                id,
                route.stages,
                context.head.stagePieces,
                context.head.pieceKey.orEmpty(),
                context.table::poolOf,
                placesOf(),
                StageDeadlines(context.targetAtMs - CALL_MS, context.leavesAtMs - CALL_MS),
                services.pieces,
                services.later,
                ::stagesEnded,
            )
        stageRun = run
        run.start()
    }

    private fun placesOf(): DataLocality {
        val pool = context.table.poolOf(context.pool)
        return object : DataLocality {
            override val callDomain = pool?.let { services.selector.likelyDomain(it, context.head.promptParts, nowMs()) }

            override fun domainOf(handle: String): FailureDomain? =
                services.codec
                    .makerOf(handle)
                    ?.let(services.directory::findByAddress)
                    ?.failureDomain
        }
    }

    private fun stagesEnded(outcome: StageOutcome) {
        if (isOver) return
        when (outcome) {
            is StageOutcome.Done -> {
                handles = outcome.handles
                services.log.line("stages.done", "request" to id, "tookMs" to nowMs() - context.request.receivedAtMs)
                tryNext()
            }
            is StageOutcome.Failed -> stagesFailed(outcome)
        }
    }

    private fun stagesFailed(outcome: StageOutcome.Failed) {
        services.log.line("stages.failed", "request" to id, "stage" to outcome.stage, "reason" to outcome.reason)
        if (outcome.reason == PieceFailure.INPUT_GONE && stageTries < MAX_STAGE_TRIES) {
            runStages()
        } else {
            refuse(if (outcome.reason == PieceFailure.LATE) Refusal.OVERLOADED else Refusal.STAGES_FAILED)
        }
    }

    private fun tryNext() {
        val pool = context.table.poolOf(context.pool)
        val choice = pool?.let { services.selector.select(it, context.head.promptParts, tried, nowMs()) }
        if (choice == null) {
            refuse(if (mayHaveRun) Refusal.BACKEND_FAILED else Refusal.NO_BACKEND)
            return
        }
        tried += choice.server.id
        if (attempts == 0 && turnedAway == 0) services.budgets.of(context.pool).recordFirstAttempt()
        attempts++
        mayHaveRun = true
        attempt =
            Attempt(
                context,
                choice,
                handles,
                resumeAfter(),
                relay,
                answer,
                services,
                ::canTryElsewhere,
                ::attemptEnded,
            ).also { it.start(attempts) }
    }

    private fun canTryElsewhere(): Boolean {
        val pool = context.table.poolOf(context.pool) ?: return false
        val hasTry = attempts < route.maxAttempts && services.budgets.of(context.pool).hasRemaining
        return hasTry && services.selector.canSelect(pool, tried, nowMs())
    }

    private fun resumeAfter(): String? = (relay as? EventRelay)?.takeIf { it.hasBegun }?.lastEventId?.toString() ?: context.head.lastEventId

    private fun attemptEnded(result: AttemptResult) {
        if (result != AttemptResult.FirstByte) attempt = null
        if (isOver) return
        when (result) {
            AttemptResult.FirstByte -> {
                firstByteMs = firstByteMs ?: (nowMs() - context.request.receivedAtMs)
                stageRun?.cancel()
            }
            AttemptResult.Answered -> finish("answered")
            is AttemptResult.NotRun -> notRun(result)
            is AttemptResult.MayHaveRun -> broken(result)
        }
    }

    private fun notRun(result: AttemptResult.NotRun) {
        attempts--
        turnedAway++
        mayHaveRun = attempts > 0
        if (result.isInputGone) {
            if (stageTries >= MAX_STAGE_TRIES) return refuse(Refusal.STAGES_FAILED)
            tried.clear()
            return runStages()
        }
        // What no backend server got costs none of them anything.
        val mayTryNext = turnedAway <= MAX_TURNED_AWAY && (!result.wasSent || services.budgets.of(context.pool).tryAcquire())
        if (mayTryNext) tryNext() else refuse(Refusal.NO_BACKEND)
    }

    private fun broken(result: AttemptResult.MayHaveRun) {
        val mayRepeat = route.kind.isIdempotent && attempts < route.maxAttempts && nowMs() < context.endAtMs - MIN_ATTEMPT_MS
        if (mayRepeat && services.budgets.of(context.pool).tryAcquire()) {
            result.discard()
            if (relay.hasBegun && route.stages.isNotEmpty()) stageRun = null
            proceed()
            return
        }
        if (result.passOn()) return finish("answered-failure")
        refuse(Refusal.BACKEND_FAILED)
    }

    private fun timedOut() {
        if (isOver) return
        refuse(if (mayHaveRun) Refusal.BACKEND_TIMED_OUT else Refusal.OUT_OF_TIME)
    }

    private fun refuse(
        refusal: Refusal,
        waitMs: Long = 0,
    ) {
        if (isOver) return
        if (relay.hasBegun) answer.abort() else answer.refuse(refusal, returnAfterMs(refusal, waitMs))
        finish(if (relay.hasBegun) "cut" else refusal.name)
    }

    private fun returnAfterMs(
        refusal: Refusal,
        waitMs: Long,
    ) = if (refusal.isNotRun) services.returns.recordRefusal(route.name, waitMs, nowMs(), id.hashCode()) else 0

    private fun finish(
        outcome: String,
        cancelAttempt: Boolean = true,
    ) {
        isOver = true
        if (cancelAttempt) attempt?.cancel()
        stageRun?.cancel()
        val tookMs = nowMs() - context.request.receivedAtMs
        services.log.line(
            "request.ended",
            "request" to id,
            "outcome" to outcome,
            "firstByteMs" to firstByteMs,
            "tookMs" to tookMs,
            "attempts" to attempts,
            "turnedAway" to turnedAway,
            "lastEvent" to (relay as? EventRelay)?.lastEventId,
        )
        services.metrics.requestEnded(route.name, outcome, tookMs)
    }

    private fun nowMs() = services.clock.nowMs()

    private companion object {
        /** The final answer leaves this much before the caller stops to wait: a late timer and the way to the caller. */
        const val END_MARGIN_MS = 15L

        /** What an engine needs from a call to its first event, in an ordinary load. */
        const val CALL_MS = 250L

        /** Under this an attempt is of no use. */
        const val MIN_ATTEMPT_MS = 50L
        const val MAX_STAGE_TRIES = 2
        const val MAX_TURNED_AWAY = 2
    }
}

/** Answers with [refusal]; where it promises that nothing ran, the caller is told to come back after [retryAfterMs]. */
internal fun CallerAnswer.refuse(
    refusal: Refusal,
    retryAfterMs: Long,
) {
    val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
    if (refusal.isNotRun) headers.set(HttpHeaderNames.RETRY_AFTER, (retryAfterMs / MS_PER_S).toString())
    whole(refusal.status, headers, Unpooled.copiedBuffer(refusal.reason + "\n", Charsets.UTF_8))
}

private const val MS_PER_S = 1_000.0
