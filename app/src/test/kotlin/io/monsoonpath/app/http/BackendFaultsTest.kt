package io.monsoonpath.app.http

import io.monsoonpath.app.request.Mismatch
import io.monsoonpath.app.standin.StandInBehavior
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageKind
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests each kind of backend server failure, for calls that may be retried and for calls that may not. */
class BackendFaultsTest {
    /**
     * A failure in the last of the stages of [kinds].
     *
     * @property act what the first backend server of the stage does, or null if it is unreachable
     * @property onBoth whether the second one does the same
     * @property reason the reason of the expected refusal, or null if the second backend server is to answer
     * @property ran what the expected refusal says about execution
     * @property received the number of calls that the backend servers of the stage receive
     * @property dropped the mismatch for which an answer is dropped, or null if none is dropped
     */
    private class Case(
        val name: String,
        val act: StandInBehavior?,
        val idempotent: Boolean,
        val onBoth: Boolean = false,
        val reason: RefusalReason? = null,
        val ran: ExecutionStatus = ExecutionStatus.UNKNOWN,
        val received: Int,
        val dropped: Mismatch? = null,
        val kinds: List<StageKind> = listOf(StageKind.ENCODE, StageKind.SERVICE),
    )

    private val singleStage = listOf(StageKind.SERVICE)
    private val backendFailed = RefusalReason.BACKEND_FAILED
    private val deadlinePassed = RefusalReason.DEADLINE_PASSED

    private val cases =
        listOf(
            Case("retried: dies before it runs", StandInBehavior.FailBeforeRun, true, received = 2),
            Case("retried: dies during its answer", StandInBehavior.FailDuringAnswer, true, received = 2),
            Case("retried: dies after it ran", StandInBehavior.FailAfterRun, true, received = 2),
            Case("retried: overloaded", StandInBehavior.Status(503), true, received = 2),
            Case("retried: unreachable", null, true, received = 1),
            Case(
                "retried: answers another request",
                mislabel(REQUEST_ID_HEADER, "x"),
                true,
                received = 2,
                dropped = Mismatch.FOREIGN_REQUEST,
            ),
            Case("retried: answers another stage", mislabel(STAGE_HEADER, "x"), true, received = 2, dropped = Mismatch.OTHER_STAGE),
            Case("retried: answers another attempt", mislabel(ATTEMPT_HEADER, "9"), true, received = 2, dropped = Mismatch.LATE_ATTEMPT),
            Case("retried: answers without a stage", mislabel(STAGE_HEADER, null), true, received = 2, dropped = Mismatch.UNMARKED),
            Case("refused: both die", StandInBehavior.FailAfterRun, true, onBoth = true, reason = backendFailed, received = 2),
            Case(
                "refused: an answer with status 400 is not retried",
                StandInBehavior.Status(400),
                true,
                reason = backendFailed,
                received = 1,
            ),
            Case("refused: both unreachable", null, true, onBoth = true, reason = backendFailed, received = 0),
            Case(
                "refused: one stage, both unreachable",
                null,
                true,
                true,
                backendFailed,
                ExecutionStatus.NOT_RUN,
                received = 0,
                kinds = singleStage,
            ),
            Case("not retried: dies before it runs", StandInBehavior.FailBeforeRun, false, reason = backendFailed, received = 1),
            Case("not retried: dies during its answer", StandInBehavior.FailDuringAnswer, false, reason = backendFailed, received = 1),
            Case("not retried: dies after it ran", StandInBehavior.FailAfterRun, false, reason = backendFailed, received = 1),
            Case("not retried: overloaded", StandInBehavior.Status(503), false, reason = backendFailed, received = 1),
            Case("not retried: never answers", StandInBehavior.Hang, false, reason = deadlinePassed, received = 1),
            Case("not retried: answers too late", StandInBehavior.Answer(60_000), false, reason = deadlinePassed, received = 1),
            Case("non-idempotent: one unreachable", null, false, received = 1),
            Case("non-idempotent: both unreachable", null, false, true, backendFailed, received = 0),
            Case(
                "non-idempotent: one stage, both unreachable",
                null,
                false,
                true,
                backendFailed,
                ExecutionStatus.NOT_RUN,
                received = 0,
                kinds = singleStage,
            ),
            Case(
                "not retried: answers another request",
                mislabel(REQUEST_ID_HEADER, "x"),
                false,
                false,
                backendFailed,
                received = 1,
                dropped = Mismatch.FOREIGN_REQUEST,
            ),
        )

    @TestFactory
    fun `a failing backend server leads to a complete answer or an accurate refusal`(): List<DynamicTest> =
        cases.map { case -> dynamicTest(case.name) { verify(case) } }

    private fun verify(case: Case) {
        val harness = Harness(case.kinds, case.idempotent, deadlineMs = if (case.reason == deadlinePassed) SHORT_DEADLINE_MS else 5_000)
        harness.use {
            val stage = case.kinds.lastIndex
            val count = if (case.onBoth) 2 else 1
            val act = case.act
            if (act == null) it.disconnect(stage, count) else it.backends[stage].take(count).forEach { b -> b.behavior = { act } }
            val answer = it.call("r1")
            assertEquals(case.received, it.callsReceived("r1", stage), "calls received")
            case.dropped?.let { kind -> assertEquals(1, it.droppedAnswers(kind), "answers dropped as $kind") }
            if (case.reason == null) {
                val ordinals = List(stage) { 1 } + 2
                assertEquals(it.expectedAnswer("r1", ordinals), answer.contentUtf8())
            } else {
                val refusal = answer.refusal()
                assertEquals(case.reason to case.ran, refusal.reason to refusal.ran, "$refusal")
                assertEquals(case.reason.status, answer.status().code())
                assertEquals("s$stage", refusal.stage?.value)
                assertTrue(refusal.peer.orEmpty().startsWith("s$stage-"), "the refusal does not name the backend server: $refusal")
                it.assertRanIsAccurate("r1", refusal)
            }
        }
    }

    private companion object {
        const val SHORT_DEADLINE_MS = 300L

        fun mislabel(
            header: String,
            value: String?,
        ) = StandInBehavior.OverrideHeader(header, value)
    }
}
