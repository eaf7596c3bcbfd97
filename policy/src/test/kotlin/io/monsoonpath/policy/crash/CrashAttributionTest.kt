package io.monsoonpath.policy.crash

import io.monsoonpath.model.PromptPartId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.system.measureNanoTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Requests with one part crashed servers one after the other, and sound requests with their other parts must still be sent. */
class CrashAttributionTest {
    /** [crashes] and the combinations that are found, each as the names of its parts. */
    private class Case(
        val name: String,
        val crashes: List<ObservedCrash>,
        val found: List<String>,
    )

    private val cases =
        listOf(
            Case("no crash", emptyList(), emptyList()),
            Case("a single crash proves nothing", listOf(crash(1_000, "a p")), emptyList()),
            Case("the part that two crashes have in common", listOf(crash(1_000, "b p"), crash(2_000, "c p")), listOf("p")),
            Case("parts that always occur together", listOf(crash(1_000, "b p"), crash(2_000, "b p")), listOf("b p")),
            Case("servers that crash at the same moment", listOf(crash(1_000, "a"), crash(1_010, "a"), crash(1_020, "a")), emptyList()),
            Case(
                "servers that crash together just after they received requests",
                listOf(crash(1_000, "a", sentAtMs = 980), crash(1_040, "a", sentAtMs = 985), crash(1_090, "a", sentAtMs = 990)),
                emptyList(),
            ),
            Case(
                "a request that was retried on another server",
                listOf(crash(1_000, "b p"), crash(1_300, "b p", sentAtMs = 1_010)),
                listOf("b p"),
            ),
            Case(
                "a retry that seems to be sent before the first crash because of delayed messages",
                listOf(crash(1_000, "b p"), crash(1_150, "b p", sentAtMs = 970)),
                listOf("b p"),
            ),
            Case(
                "two parts of unrelated requests explain two crashes equally well",
                listOf(crash(1_000, "b p", "c"), crash(2_000, "d p", "c")),
                emptyList(),
            ),
            Case(
                "a third crash decides between them",
                listOf(crash(1_000, "b p", "c"), crash(2_000, "d p", "c"), crash(3_000, "e p")),
                listOf("p"),
            ),
            Case(
                "a part in more requests than the combination rejects fewer requests",
                listOf(crash(1_000, "a p", "a c"), crash(2_000, "a p", "a d")),
                listOf("a p"),
            ),
            Case(
                "two causes at the same time",
                listOf(crash(1_000, "b p"), crash(2_000, "c q"), crash(3_000, "d p"), crash(4_000, "e q")),
                listOf("p", "q"),
            ),
            Case(
                "a crash for another reason between them",
                listOf(crash(1_000, "b p"), crash(1_500, "x", "y"), crash(2_000, "c p")),
                listOf("p"),
            ),
            Case(
                "two crashes with many suspects are not enough",
                listOf(crash(1_000, "p", "b", "c", "d", "e"), crash(2_000, "p", "f", "g", "h", "i")),
                emptyList(),
            ),
            Case(
                "three crashes with many suspects are",
                listOf(crash(1_000, "p", "b", "c", "d", "e"), crash(2_000, "p", "f", "g", "h", "i"), crash(3_000, "p", "j", "k", "l", "m")),
                listOf("p"),
            ),
        )

    @TestFactory
    fun `crashes are attributed to what their suspects have in common`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val found = findQuarantines(case.crashes).map { it.parts }
                assertEquals(case.found.map(::partsOf).toSet(), found.toSet())
                assertEquals(found, findQuarantines(case.crashes.reversed()).map { it.parts }, "the order of the reports must not matter")
            }
        }

    @Test
    fun `a quarantine waits for answers that clear parts in frequent use, and lasts longer after each crash`() {
        val two = findQuarantines(listOf(crash(1_000, "b p"), crash(2_000, "c p"))).single()
        assertEquals(PromptQuarantine(partsOf("p"), 2, startsAtMs = 2_300, lastCrashAtMs = 2_000, endsAtMs = 62_000), two)
        val three = findQuarantines(listOf(crash(1_000, "b p"), crash(2_000, "c p"), crash(70_000, "d p"))).single()
        assertEquals(PromptQuarantine(partsOf("p"), 3, startsAtMs = 2_300, lastCrashAtMs = 70_000, endsAtMs = 190_000), three)
    }

    @Test
    fun `a combination matches only requests with all of its parts`() {
        val quarantine = findQuarantines(listOf(crash(1_000, "b p"), crash(2_000, "b p"))).single()
        assertTrue(quarantine.matches(partsOf("a b p")))
        assertFalse(quarantine.matches(partsOf("a b")))
        assertFalse(quarantine.matches(partsOf("a p")))
    }

    @Test
    fun `instances take turns with trials and repeat them rarely`() {
        val quarantine = PromptQuarantine(partsOf("p"), 2, startsAtMs = 0, lastCrashAtMs = 0, endsAtMs = 60_000)
        val trials = TrialSchedule()
        assertFalse(trials.mayStart(quarantine, rank = 0, nowMs = 59_999))
        assertFalse(trials.mayStart(quarantine, rank = null, nowMs = 60_000), "the fleet is not known")
        assertFalse(trials.mayStart(quarantine, rank = 1, nowMs = 60_000))
        assertTrue(trials.mayStart(quarantine, rank = 0, nowMs = 60_000))
        trials.recordStart(quarantine, 60_000)
        assertFalse(trials.mayStart(quarantine, rank = 0, nowMs = 120_000))
        assertTrue(trials.mayStart(quarantine, rank = 0, nowMs = 120_001))
    }

    /** Each part that prompts have in common took work that grows with their number, which held up the event loop. */
    @Test
    fun `prompts with thousands of parts cost in proportion to their parts`() {
        fun crashesWith(parts: Int): List<ObservedCrash> {
            val common = (1..parts).joinToString(" ")
            return List(10) { crash(1_000L * it, "$common own$it") }
        }

        fun costNs(
            parts: Int,
            rounds: Int,
        ): Long {
            val crashes = crashesWith(parts)
            return measureNanoTime { repeat(rounds) { assertEquals(parts, findQuarantines(crashes).single().parts.size) } }
        }
        costNs(parts = 250, rounds = 16)
        val ratio = List(3) { costNs(parts = 4_000, rounds = 1).toDouble() / costNs(parts = 250, rounds = 16) }.min()
        assertTrue(ratio < 4, "4,000 parts cost $ratio times as much as 16 times 250")
    }

    private companion object {
        /** Returns a crash with one suspect for each of [prompts], sent half a second before unless [sentAtMs] is given. */
        fun crash(
            atMs: Long,
            vararg prompts: String,
            sentAtMs: Long = atMs - 500,
        ) = ObservedCrash(atMs, prompts.map { SuspectRequest(sentAtMs, partsOf(it)) })

        fun partsOf(text: String): Set<PromptPartId> = text.split(' ').mapTo(HashSet(), ::PromptPartId)
    }
}
