package io.monsoonpath.policy.batch

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class AdmissionTest {
    private fun stage(
        workMs: Long,
        waitMs: Long,
        vararg predecessors: Int,
    ) = StageEstimate(predecessors.toList(), workMs, waitMs)

    private class Case(
        val name: String,
        val stages: List<StageEstimate>,
        val expected: AdmissionDecision,
        val rank: Int = 0,
        val seed: Int = 1,
    )

    private val cases =
        listOf(
            Case("a request without stages is admitted", emptyList(), AdmissionDecision.Admit(200)),
            Case("an idle chain is admitted", listOf(stage(260, 0), stage(260, 0, 0), stage(260, 0, 1)), AdmissionDecision.Admit(980)),
            Case("parallel stages take as long as the longest one", listOf(stage(700, 0), stage(600, 0)), AdmissionDecision.Admit(900)),
            Case("a skipped stage adds no wait", listOf(stage(0, 5_000), stage(300, 0)), AdmissionDecision.Admit(500)),
            Case("just below the target", listOf(stage(300, 133), stage(300, 0, 0)), AdmissionDecision.Admit(999)),
            Case("just above the target", listOf(stage(300, 134), stage(300, 0, 0)), AdmissionDecision.Refuse(1_001, retryAfterMs = 1)),
            Case(
                "a pool drains its backlog while the preceding stage runs",
                listOf(stage(300, 0), stage(300, 200, 0)),
                AdmissionDecision.Admit(800),
            ),
            Case(
                "a less urgent request is refused at a wait that fits rank 0",
                listOf(stage(300, 300)),
                AdmissionDecision.Refuse(1_010, retryAfterMs = 10),
                rank = 2,
            ),
            Case("a less urgent request is admitted at a shorter wait", listOf(stage(300, 250)), AdmissionDecision.Admit(925), rank = 2),
            Case("one in four is decided without its rank", listOf(stage(300, 300)), AdmissionDecision.Admit(950), rank = 2, seed = 4),
            Case("a late request is admitted if no pool has a queue", listOf(stage(900, 0)), AdmissionDecision.Admit(1_100)),
            Case(
                "only the wait beyond the preceding stages counts",
                listOf(stage(300, 100), stage(300, 600, 0), stage(300, 100, 1)),
                AdmissionDecision.Refuse(1_700, retryAfterMs = 700),
            ),
        )

    @TestFactory
    fun `a request is admitted if it can be on time`() =
        cases.map { case ->
            DynamicTest.dynamicTest(
                case.name,
            ) { assertEquals(case.expected, decideAdmission(case.stages, targetMs = 1_000, callMs = 200, case.rank, case.seed)) }
        }
}
