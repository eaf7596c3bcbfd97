package io.monsoonpath.app.http

import io.monsoonpath.app.request.Mismatch
import io.monsoonpath.app.standin.StandInAct
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageKind
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A backend server that fails in each way, for calls that may and may not be repeated. */
class BackendFaultsTest {
    /**
     * A fault of the last of [kinds]' stages.
     *
     * @property act what the first backend server of the stage does; null if it is not there
     * @property onBoth whether the second one does the same
     * @property reason the refusal to expect, or null for a whole answer by the second backend server
     * @property received how many calls the stage's backend servers receive
     */
    private class Case(
        val name: String,
        val act: StandInAct?,
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
            Case("repeats: dies before it runs", StandInAct.DieBeforeRun, true, received = 2),
            Case("repeats: dies in its answer", StandInAct.DieInAnswer, true, received = 2),
            Case("repeats: dies after it ran", StandInAct.DieAfterRun, true, received = 2),
            Case("repeats: overloaded", StandInAct.Status(503), true, received = 2),
            Case("repeats: is not there", null, true, received = 1),
            Case(
                "repeats: answers another request",
                mislabel(REQUEST_ID_HEADER, "x"),
                true,
                received = 2,
                dropped = Mismatch.FOREIGN_REQUEST,
            ),
            Case("repeats: answers another stage", mislabel(STAGE_HEADER, "x"), true, received = 2, dropped = Mismatch.OTHER_STAGE),
            Case("repeats: answers another attempt", mislabel(ATTEMPT_HEADER, "9"), true, received = 2, dropped = Mismatch.LATE_ATTEMPT),
            Case("repeats: marks nothing", mislabel(STAGE_HEADER, null), true, received = 2, dropped = Mismatch.UNMARKED),
            Case("refuses: all die", StandInAct.DieAfterRun, true, onBoth = true, reason = backendFailed, received = 2),
            Case("refuses: a bad request stays bad", StandInAct.Status(400), true, reason = backendFailed, received = 1),
            Case("refuses: none is there", null, true, onBoth = true, reason = backendFailed, received = 0),
            Case(
                "refuses: none of one stage is there",
                null,
                true,
                true,
                backendFailed,
                ExecutionStatus.NOT_RUN,
                received = 0,
                kinds = singleStage,
            ),
            Case("once: dies before it runs", StandInAct.DieBeforeRun, false, reason = backendFailed, received = 1),
            Case("once: dies in its answer", StandInAct.DieInAnswer, false, reason = backendFailed, received = 1),
            Case("once: dies after it ran", StandInAct.DieAfterRun, false, reason = backendFailed, received = 1),
            Case("once: overloaded", StandInAct.Status(503), false, reason = backendFailed, received = 1),
            Case("once: never answers", StandInAct.Hang, false, reason = deadlinePassed, received = 1),
            Case("once: answers too late", StandInAct.Answer(60_000), false, reason = deadlinePassed, received = 1),
            Case("once: is not there", null, false, received = 1),
            Case("once: none is there", null, false, true, backendFailed, received = 0),
            Case(
                "once: none of one stage is there",
                null,
                false,
                true,
                backendFailed,
                ExecutionStatus.NOT_RUN,
                received = 0,
                kinds = singleStage,
            ),
            Case(
                "once: answers another request",
                mislabel(REQUEST_ID_HEADER, "x"),
                false,
                false,
                backendFailed,
                received = 1,
                dropped = Mismatch.FOREIGN_REQUEST,
            ),
        )

    @TestFactory
    fun `a failing backend server leads to a whole answer or a truthful refusal`(): List<DynamicTest> =
        cases.map { case -> dynamicTest(case.name) { verify(case) } }

    private fun verify(case: Case) {
        val harness = Harness(case.kinds, case.idempotent, deadlineMs = if (case.reason == deadlinePassed) SHORT_DEADLINE_MS else 5_000)
        harness.use {
            val stage = case.kinds.lastIndex
            val count = if (case.onBoth) 2 else 1
            val act = case.act
            if (act == null) it.disconnect(stage, count) else it.backends[stage].take(count).forEach { backend -> backend.act = { act } }
            val answer = it.call("r1")
            assertEquals(case.received, it.callsReceived("r1", stage), "calls received")
            case.dropped?.let { kind -> assertEquals(1, it.droppedAnswers(kind), "dropped as $kind") }
            if (case.reason == null) {
                val ordinals = List(stage) { 1 } + 2
                assertEquals(it.expectedAnswer("r1", ordinals), answer.contentUtf8())
            } else {
                val refusal = answer.refusal()
                assertEquals(case.reason to case.ran, refusal.reason to refusal.ran, "$refusal")
                assertEquals(case.reason.status, answer.status().code())
                assertEquals("s$stage", refusal.stage?.value)
                assertTrue(refusal.peer.orEmpty().startsWith("s$stage-"), "the peer is missing in $refusal")
                it.assertRanIsAccurate("r1", refusal)
            }
        }
    }

    private companion object {
        const val SHORT_DEADLINE_MS = 300L

        fun mislabel(
            header: String,
            value: String?,
        ) = StandInAct.Mislabel(header, value)
    }
}
