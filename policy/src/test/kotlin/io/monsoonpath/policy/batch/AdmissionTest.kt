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
            Case("a request without stages is taken in", emptyList(), AdmissionDecision.Admit(200)),
            Case("an idle chain is taken in", listOf(stage(260, 0), stage(260, 0, 0), stage(260, 0, 1)), AdmissionDecision.Admit(980)),
            Case("stages beside each other take the longer", listOf(stage(700, 0), stage(600, 0)), AdmissionDecision.Admit(900)),
            Case("a stage that is left out waits for nothing", listOf(stage(0, 5_000), stage(300, 0)), AdmissionDecision.Admit(500)),
            Case("just on time", listOf(stage(300, 133), stage(300, 0, 0)), AdmissionDecision.Admit(999)),
            Case("just late", listOf(stage(300, 134), stage(300, 0, 0)), AdmissionDecision.Refuse(1_001, retryAfterMs = 1)),
            Case(
                "a pool works off its backlog while the stage before runs",
                listOf(stage(300, 0), stage(300, 200, 0)),
                AdmissionDecision.Admit(800),
            ),
            Case(
                "a less urgent request leaves room",
                listOf(stage(300, 300)),
                AdmissionDecision.Refuse(1_010, retryAfterMs = 10),
                rank = 2,
            ),
            Case("a shorter wait leaves room enough", listOf(stage(300, 250)), AdmissionDecision.Admit(925), rank = 2),
            Case("one in four is judged without its rank", listOf(stage(300, 300)), AdmissionDecision.Admit(950), rank = 2, seed = 4),
            Case("nothing waits", listOf(stage(900, 0)), AdmissionDecision.Admit(1_100)),
            Case(
                "the rest of a wait counts",
                listOf(stage(300, 100), stage(300, 600, 0), stage(300, 100, 1)),
                AdmissionDecision.Refuse(1_700, retryAfterMs = 700),
            ),
        )

    @TestFactory
    fun `a request is taken in if it can be on time`() =
        cases.map { case ->
            DynamicTest.dynamicTest(
                case.name,
            ) { assertEquals(case.expected, decideAdmission(case.stages, targetMs = 1_000, callMs = 200, case.rank, case.seed)) }
        }
}
