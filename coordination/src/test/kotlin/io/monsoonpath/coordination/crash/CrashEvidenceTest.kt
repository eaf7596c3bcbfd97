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

    private class PromptCase(
        val name: String,
        val partCount: Int,
        val suspects: Int = 1,
        val partChars: Int = 8,
        val backendChars: Int = 10,
    ) {
        fun report(): CrashReport {
            val prompts = List(suspects) { suspect -> List(partCount) { "$suspect-$it".padEnd(partChars, 'p') }.joinToString(" ") }
            return report("127.100.100.100", 7, 1_000, *prompts.toTypedArray(), crash = CrashId(BackendId("b".repeat(backendChars)), 1))
        }
    }

    private val promptCases =
        listOf(
            PromptCase("three parts", 3),
            PromptCase("40 parts", 40),
            PromptCase("parts as long as ids are", 20, partChars = PromptPartId.MAX_CHARS, backendChars = 256),
            PromptCase("eight suspects with long parts", 20, suspects = 8, partChars = PromptPartId.MAX_CHARS, backendChars = 256),
            PromptCase("as many parts as fit into a head of 16 KB", 4_000, suspects = 2, partChars = 4),
        )

    /** A receiver rejected reports with more than 32 parts, and longer ones did not fit into its buffer, so no instance learned of them. */
    @TestFactory
    fun `reports on prompts of any length arrive, in any order of their datagrams`() =
        promptCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val report = case.report()
                val cleared = report.parts.filterIndexedTo(HashSet()) { i, _ -> i % 3 == 0 }
                val sent = EvidenceDelta(listOf(report), listOf(Clearance(report.crash, cleared)))
                val datagrams = EvidenceCodec.encode(EvidenceMessage.Evidence(sent), nowMs = 1_400)
                assertTrue(datagrams.all { it.size <= MAX_DATAGRAM_BYTES }, "a datagram has ${datagrams.maxOf { it.size }} bytes")
                val receiver = CrashEvidence()
                for (datagram in datagrams.shuffled(Random(1))) {
                    assertEquals(emptyList(), receiver.crashes(1_400), "a report is used before it is complete")
                    merge(receiver, datagram)
                }
                val expected = CrashEvidence().also { it.merge(sent, 1_400) }
                assertEquals(expected.digest, receiver.digest)
                assertEquals(expected.crashes(1_400).single().suspects, receiver.crashes(1_400).single().suspects)
            }
        }

    @Test
    fun `fragments that were lost arrive from another instance, at another time`() {
        val report = PromptCase("", 400).report()
        val first = EvidenceCodec.encode(EvidenceMessage.Evidence(EvidenceDelta(listOf(report))), nowMs = 1_400)
        val forwarder = CrashEvidence().also { it.merge(EvidenceDelta(listOf(report)), 1_400) }
        val second = EvidenceCodec.encode(EvidenceMessage.Evidence(forwarder.all(1_900)), nowMs = 1_900)
        val receiver = CrashEvidence()
        first.filterIndexed { i, _ -> i % 2 == 0 }.forEach { merge(receiver, it) }
        second.filterIndexed { i, _ -> i % 2 == 1 }.forEach { merge(receiver, it) }
        assertEquals(forwarder.digest, receiver.digest)
    }

    @Test
    fun `parts that are cleared before their report is complete stay cleared`() {
        val report = PromptCase("", 400).report()
        val datagrams = EvidenceCodec.encode(EvidenceMessage.Evidence(EvidenceDelta(listOf(report))), nowMs = 1_400)
        val receiver = CrashEvidence()
        datagrams.dropLast(1).forEach { merge(receiver, it) }
        receiver.merge(EvidenceDelta(clearances = listOf(Clearance(report.crash, report.parts))), 1_400)
        merge(receiver, datagrams.last())
        assertEquals(emptyList(), receiver.crashes(1_400).single().suspects)
    }

    private fun merge(
        receiver: CrashEvidence,
        datagram: ByteArray,
    ) {
        when (val message = EvidenceCodec.decodeOrNull(datagram, 1_400)) {
            is EvidenceMessage.Evidence -> receiver.merge(message.delta, 1_400)
            is EvidenceMessage.Fragment -> receiver.merge(message.value, 1_400)
            else -> error("the datagram cannot be read: $message")
        }
    }

    /** Prompts with very many parts must not use up the memory. */
    @Test
    fun `the parts of all reports are bounded, and the newest reports are kept`() {
        val reports = List(40) { PromptCase("", 4_000).report().copy(id = ReportId("h", 1, it.toLong()), atMs = 1_000L + it) }
        reports.forEach { evidence.merge(EvidenceDelta(listOf(it)), 2_000) }
        val kept = evidence.all(2_000).reports
        assertEquals(reports.takeLast(kept.size).map { it.id }, kept.map { it.id })
        assertTrue(kept.sumOf { it.partCount } in 60_000..65_536, "${kept.sumOf { it.partCount }} parts")
    }

    @Test
    fun `fragments of reports that never become complete are bounded`() {
        val assembly = ReportAssembly(maxParts = 1_000)
        val fragments =
            List(100) { number ->
                val report = PromptCase("", 200).report().copy(id = ReportId("h", 1, number.toLong()))
                ReportFragment(report, index = 0, count = 2, firstSuspect = 0)
            }
        fragments.forEach { assertNull(assembly.add(it)) }
        val completed = fragments.filter { assembly.add(ReportFragment(it.report, index = 1, count = 2, firstSuspect = 0)) != null }
        assertTrue(completed.size <= 5, "${completed.size} reports of 200 parts were kept")
    }

    @TestFactory
    fun `bytes that are no message are rejected without an exception`() =
        (1L..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val random = Random(seed)
                val reports = listOf(report("h1", 7, 1_000, "a p"), PromptCase("", 100).report())
                val datagrams = EvidenceCodec.encode(EvidenceMessage.Evidence(EvidenceDelta(reports)), 1_400)
                repeat(MUTATIONS) {
                    val valid = datagrams.random(random)
                    val bytes = valid.copyOf(random.nextInt(1, valid.size + 1))
                    repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                    val message = EvidenceCodec.decodeOrNull(bytes, 2_000)
                    if (message is EvidenceMessage.Evidence) CrashEvidence().merge(message.delta, 2_000)
                    if (message is EvidenceMessage.Fragment) CrashEvidence().merge(message.value, 2_000)
                }
                assertNull(EvidenceCodec.decodeOrNull(ByteArray(0), 0))
            }
        }

    private companion object {
        const val SEEDS = 20L
        const val MUTATIONS = 500

        /** What the receive buffer of a datagram holds. */
        const val MAX_DATAGRAM_BYTES = 2_048

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
