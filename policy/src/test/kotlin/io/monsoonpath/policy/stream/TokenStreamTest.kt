package io.monsoonpath.policy.stream

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.SplittableRandom
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class TokenStreamTest {
    private class Case(
        val name: String,
        val inputs: List<StreamInput<String>>,
        val lastEffects: List<StreamEffect<String>>,
    )

    private val cases =
        listOf(
            Case("delivers a token", listOf(token(1, 0)), listOf(StreamEffect.Deliver(0, "t0"))),
            Case("drops a duplicate token", listOf(token(1, 0), token(1, 0)), emptyList()),
            Case("resumes at the next token", listOf(token(1, 0), StreamInput.Lost(A1)), listOf(resume(2, from = 1, null, E1))),
            Case(
                "imports the exported cache",
                listOf(token(1, 0), token(1, 1), StreamInput.Exported(A1, KvExport("x", 1)), StreamInput.Lost(A1)),
                listOf(resume(2, from = 2, KvExport("x", 1), E1)),
            ),
            Case(
                "does not import a cache that would skip tokens",
                listOf(token(1, 0), StreamInput.Exported(A1, KvExport("x", 2)), StreamInput.Lost(A1)),
                listOf(resume(2, from = 1, null, E1)),
            ),
            Case(
                "handles a gap as a loss",
                listOf(token(1, 0), token(1, 2)),
                listOf(StreamEffect.Cancel(A1, E1), resume(2, from = 1, null, E1)),
            ),
            Case(
                "handles an end with missing tokens as a loss",
                listOf(token(1, 0), StreamInput.Ended(A1, 2)),
                listOf(resume(2, from = 1, null, E1)),
            ),
            Case("completes after the last token", listOf(token(1, 0), StreamInput.Ended(A1, 1)), listOf(StreamEffect.Complete(1))),
            Case(
                "ignores tokens of an earlier engine",
                listOf(StreamInput.Lost(A1), StreamInput.Resumed(A2, E2), token(1, 0)),
                emptyList(),
            ),
            Case("cancels the stream when the caller disconnects", listOf(StreamInput.Abandoned), listOf(StreamEffect.Cancel(A1, E1))),
            Case(
                "cancels an engine that resumes an abandoned stream",
                listOf(StreamInput.Lost(A1), StreamInput.Abandoned, StreamInput.Resumed(A2, E2)),
                listOf(StreamEffect.Cancel(A2, E2)),
            ),
            Case(
                "fails when no engine is available",
                listOf(StreamInput.Lost(A1), StreamInput.NoEngine),
                listOf(StreamEffect.Fail(StreamFailure.NO_ENGINE)),
            ),
        )

    @TestFactory
    fun `returns the actions for each input`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val stream = TokenStream<String>(E1)
                assertEquals(case.lastEffects, case.inputs.map { stream.handle(it) }.last())
            }
        }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `delivers each token exactly once under random faults`(seed: Long) {
        val random = SplittableRandom(seed)
        repeat(500) {
            val delivered = mutableListOf<Int>()
            val ending = run(random, delivered)
            assertEquals(delivered.indices.toList(), delivered)
            assertTrue(ending !is StreamEffect.Complete || delivered.size == TOKENS, "completed after only ${delivered.size} tokens")
        }
    }

    /** Runs a stream with random duplicate tokens, gaps and engine losses, and returns its last effect. */
    private fun run(
        random: SplittableRandom,
        delivered: MutableList<Int>,
    ): StreamEffect<String>? {
        val stream = TokenStream<String>(E1)
        var attempt = 1
        var seq = 0
        var last: StreamEffect<String>? = null
        repeat(MAX_STEPS) {
            val input = randomInput(random, attempt, seq)
            if (input is StreamInput.Token) seq = input.seq + 1
            for (effect in stream.handle(input)) {
                last = effect
                if (effect is StreamEffect.Deliver) delivered += effect.seq
                if (effect is StreamEffect.Resume) {
                    attempt = effect.attempt.value
                    seq = effect.fromSeq
                    stream.handle(StreamInput.Resumed(effect.attempt, BackendId("e$attempt")))
                }
            }
            if (last is StreamEffect.Complete || last is StreamEffect.Fail) return last
        }
        return last
    }

    private fun randomInput(
        random: SplittableRandom,
        attempt: Int,
        seq: Int,
    ): StreamInput<String> =
        when (random.nextInt(40)) {
            0 -> StreamInput.Lost(AttemptId(attempt))
            1 -> token(attempt, seq + 1)
            2 -> token(attempt, maxOf(0, seq - 1))
            3 -> token(maxOf(1, attempt - 1), seq)
            4 -> StreamInput.Exported(AttemptId(attempt), KvExport("x", random.nextInt(TOKENS)))
            else -> if (seq >= TOKENS) StreamInput.Ended(AttemptId(attempt), TOKENS) else token(attempt, seq)
        }

    private companion object {
        const val TOKENS = 20
        const val MAX_STEPS = 400
        val A1 = AttemptId(1)
        val A2 = AttemptId(2)
        val E1 = BackendId("e1")
        val E2 = BackendId("e2")

        fun token(
            attempt: Int,
            seq: Int,
        ): StreamInput<String> = StreamInput.Token(AttemptId(attempt), seq, "t$seq")

        fun resume(
            attempt: Int,
            from: Int,
            kvImport: KvExport?,
            excluded: BackendId,
        ) = StreamEffect.Resume(AttemptId(attempt), from, kvImport, setOf(excluded))
    }
}
