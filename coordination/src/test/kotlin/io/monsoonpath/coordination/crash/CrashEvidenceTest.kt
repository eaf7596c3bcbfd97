package io.monsoonpath.coordination.crash

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.PromptPartId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CrashEvidenceTest {
    private val evidence = CrashEvidence(retentionMs = 10_000)

    @Test
    fun `reports of several instances on one crash are merged`() {
        evidence.merge(EvidenceDelta(listOf(report("h1", 1, atMs = 1_020, "a p"), report("h2", 1, atMs = 1_000, "b"))), nowMs = 1_100)
        val crash = evidence.crashes(1_100).single()
        assertEquals(1_000, crash.atMs)
        assertEquals(setOf(partsOf("a p"), partsOf("b")), crash.suspects.mapTo(HashSet()) { it.parts })
    }

    /** The later an instance noticed a crash, the earlier its requests seemed to be sent, so reports that arrived ended a quarantine. */
    @Test
    fun `the times at which requests were sent do not depend on when other instances noticed the crash`() {
        evidence.merge(EvidenceDelta(listOf(report("h1", 1, atMs = 1_700, "a"))), nowMs = 2_000)
        assertEquals(listOf(1_500L), sendTimes(nowMs = 2_000))
        evidence.merge(EvidenceDelta(listOf(report("h2", 1, atMs = 1_000, "b"))), nowMs = 2_000)
        assertEquals(setOf(1_500L, 800L), sendTimes(nowMs = 2_000).toSet())
    }

    private fun sendTimes(nowMs: Long): List<Long> =
        evidence.crashes(nowMs).flatMap { crash -> crash.suspects.map { crash.atMs - it.sentBeforeMs } }

    @Test
    fun `an answer clears its parts in all earlier crashes`() {
        evidence.merge(
            EvidenceDelta(listOf(report("h1", 1, 1_000, "a p"), report("h1", 2, 1_500, "a q", crash = CrashId(BackendId("w2"), 1)))),
            1_600,
        )
        val delta = evidence.recordAnswer(partsOf("a z"), 1_700)
        assertEquals(2, delta.clearances.size)
        assertEquals(listOf(partsOf("p"), partsOf("q")), evidence.crashes(1_700).map { it.suspects.single().parts })
        assertTrue(evidence.recordAnswer(partsOf("a"), 1_800).isEmpty, "what is cleared already is not sent again")
    }

    @Test
    fun `a report that arrives after an answer is cleared by it`() {
        evidence.recordAnswer(partsOf("a"), 1_200)
        evidence.recordAnswer(partsOf("b"), 900)
        val added = evidence.merge(EvidenceDelta(listOf(report("h1", 1, atMs = 1_000, "a b"))), nowMs = 1_300)
        assertEquals(partsOf("a"), added.clearances.single().parts)
        assertEquals(
            partsOf("b"),
            evidence
                .crashes(1_300)
                .single()
                .suspects
                .single()
                .parts,
        )
    }

    @Test
    fun `reports expire with their clearances`() {
        evidence.merge(EvidenceDelta(listOf(report("h1", 1, 1_000, "a p"))), 1_000)
        evidence.recordAnswer(partsOf("a"), 1_100)
        assertEquals(emptyList(), evidence.crashes(11_001))
        assertEquals(0, evidence.digest)
        assertTrue(evidence.merge(EvidenceDelta(listOf(report("h1", 1, 1_000, "a p"))), 11_002).isEmpty)
    }

    @TestFactory
    fun `instances that exchange messages in any order reach the same state`() =
        (1L..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val random = Random(seed)
                val reports =
                    List(
                        20,
                    ) { report("h${it % 4}", it.toLong(), 1_000L + it, randomPrompt(random), crash = CrashId(BackendId("w${it % 6}"), 1)) }
                val clearances = List(20) { Clearance(reports.random(random).crash, partsOf(randomPrompt(random))) }
                val states = List(3) { CrashEvidence() }
                for (state in states) {
                    reports.shuffled(random).forEach { state.merge(EvidenceDelta(listOf(it)), 2_000) }
                    clearances.shuffled(random).forEach { state.merge(EvidenceDelta(clearances = listOf(it)), 2_000) }
                }
                val late = CrashEvidence()
                clearances.forEach { late.merge(EvidenceDelta(clearances = listOf(it)), 2_000) }
                assertEquals(0, late.digest, "clearances of unknown crashes are ignored")
                late.merge(states.first().all(2_000), 2_000)
                assertEquals(setOf(states.first().digest), (states + late).mapTo(HashSet()) { it.digest })
                assertNotEquals(0, late.digest)
            }
        }

    @Test
    fun `messages survive encoding, with times as ages`() {
        val sent = EvidenceDelta(listOf(report("h1", 7, atMs = 1_000, "a p")), listOf(Clearance(CrashId(BackendId("w1"), 1), partsOf("a"))))
        val datagrams = EvidenceCodec.encode(EvidenceMessage.Evidence(sent), nowMs = 1_400)
        val received = datagrams.map { assertIs<EvidenceMessage.Evidence>(EvidenceCodec.decodeOrNull(it, nowMs = 50_400)).delta }
        assertEquals(sent.reports.map { it.copy(atMs = 50_000) }, received.flatMap { it.reports })
        assertEquals(sent.clearances, received.flatMap { it.clearances })
        val digest = EvidenceCodec.decodeOrNull(EvidenceCodec.encode(EvidenceMessage.Digest(-5), 0).single(), 0)
        assertEquals(-5, assertIs<EvidenceMessage.Digest>(digest).value)
        val request = EvidenceCodec.decodeOrNull(EvidenceCodec.encode(EvidenceMessage.CatchUpRequest(7), 0).single(), 0)
        assertEquals(7, assertIs<EvidenceMessage.CatchUpRequest>(request).digest)
        assertIs<EvidenceMessage.CatchUpReply>(
            EvidenceCodec.decodeOrNull(EvidenceCodec.encode(EvidenceMessage.CatchUpReply, 0).single(), 0),
        )
    }

    @TestFactory
    fun `an instance that receives only some datagrams suspects no part that another knows to be harmless`() =
        (1L..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val random = Random(seed)
                val sender = CrashEvidence()
                val reports =
                    List(8) { report("h${it % 4}", it.toLong(), 1_000L, randomPrompt(random), crash = CrashId(BackendId("w${it % 3}"), 1)) }
                sender.merge(EvidenceDelta(reports), 2_000)
                repeat(4) { sender.recordAnswer(partsOf(randomPrompt(random)), 2_000) }
                val suspected = sender.crashes(2_000).associate { crash -> crash.id to crash.suspects.flatMap { it.parts } }
                val receiver = CrashEvidence()
                for (datagram in EvidenceCodec.encode(EvidenceMessage.Evidence(sender.all(2_000)), 2_000).shuffled(random)) {
                    val message = assertIs<EvidenceMessage.Evidence>(EvidenceCodec.decodeOrNull(datagram, 2_000))
                    receiver.merge(message.delta, 2_000)
                    for (crash in receiver.crashes(2_000)) {
                        assertEquals(emptyList(), crash.suspects.flatMap { it.parts } - suspected.getValue(crash.id).toSet(), "${crash.id}")
                    }
                }
                assertEquals(sender.digest, receiver.digest)
            }
        }

    @TestFactory
    fun `bytes that are no message are rejected without an exception`() =
        (1L..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val random = Random(seed)
                val valid =
                    EvidenceCodec
                        .encode(
                            EvidenceMessage.Evidence(EvidenceDelta(listOf(report("h1", 7, 1_000, "a p")))),
                            1_400,
                        ).single()
                repeat(MUTATIONS) {
                    val bytes = valid.copyOf(random.nextInt(1, valid.size + 1))
                    repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                    val message = EvidenceCodec.decodeOrNull(bytes, 2_000)
                    if (message is EvidenceMessage.Evidence) CrashEvidence().merge(message.delta, 2_000)
                }
                assertNull(EvidenceCodec.decodeOrNull(ByteArray(0), 0))
            }
        }

    private companion object {
        const val SEEDS = 20L
        const val MUTATIONS = 500

        fun partsOf(text: String): Set<PromptPartId> = text.split(' ').mapTo(HashSet(), ::PromptPartId)

        fun randomPrompt(random: Random) = List(random.nextInt(1, 4)) { "p${random.nextInt(8)}" }.joinToString(" ")

        fun report(
            host: String,
            number: Long,
            atMs: Long,
            vararg prompts: String,
            crash: CrashId = CrashId(BackendId("w1"), 1),
        ) = CrashReport(ReportId(host, 1, number), crash, atMs, prompts.map { ReportedSuspect(200, partsOf(it)) })
    }
}
