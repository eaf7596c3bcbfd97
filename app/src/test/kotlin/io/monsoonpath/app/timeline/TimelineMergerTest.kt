package io.monsoonpath.app.timeline

import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TimelineMergerTest {
    private class Case(
        val name: String,
        val records: List<EventRecord>,
        val order: List<String>,
        val dropped: Int = 0,
        val contradictions: Int = 0,
    )

    private val cases =
        listOf(
            Case(
                "a receipt is placed after its sending although the clock of the receiver is behind",
                listOf(
                    sent("a", 1, atMs = 500, to = "b", message = 1),
                    received("b", 1, atMs = 3, from = "a", message = 1),
                    configurationAdopted("b", 2, 4),
                ),
                listOf("a1", "b1", "b2"),
            ),
            Case(
                "a chain of messages over three processes",
                listOf(
                    received("c", 1, atMs = 1, from = "b", message = 1),
                    received("b", 1, atMs = 90, from = "a", message = 1),
                    sent("b", 2, atMs = 91, to = "c", message = 1),
                    sent("a", 1, atMs = 7_000, to = "b", message = 1),
                ),
                listOf("a1", "b1", "b2", "c1"),
            ),
            Case(
                "dropped events are reported",
                listOf(configurationAdopted("a", 3, 10), configurationAdopted("a", 4, 11), configurationAdopted("a", 9, 12)),
                listOf("a3", "a4", "a9"),
                dropped = 2,
            ),
            Case("a receipt whose sending was dropped is not blocked", listOf(received("b", 1, 5, "a", 8)), listOf("b1")),
            Case(
                "a record that was read twice is placed once",
                listOf(configurationAdopted("a", 1, 1), configurationAdopted("a", 1, 1)),
                listOf("a1"),
            ),
            Case(
                "contradictory streams are merged completely",
                listOf(
                    received("a", 1, 1, "b", 1),
                    sent("a", 2, 2, "b", 1),
                    received("b", 1, 1, "a", 1),
                    sent("b", 2, 2, "a", 1),
                ),
                listOf("a1", "a2", "b1", "b2"),
                contradictions = 1,
            ),
        )

    @TestFactory
    fun `events are ordered by causality`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                val timeline = mergeTimeline(case.records)
                assertEquals(case.order, timeline.entries.map { "${it.record.instance}${it.record.seq}" })
                assertEquals(case.dropped, timeline.dropped.size)
                assertEquals(case.contradictions, timeline.contradictions)
            }
        }

    @Test
    fun `no receipt is placed before its sending in random traffic with skewed clocks`() {
        for (seed in 1..200) {
            val timeline = mergeTimeline(randomTraffic(Random(seed)))
            assertEquals(0, timeline.contradictions, "seed $seed")
            timeline.entries.forEachIndexed { i, entry -> assertTrue((entry.sendIndex ?: -1) < i, "seed $seed, entry $i") }
            assertTrue(timeline.entries.any { it.sendIndex != null }, "seed $seed has no message")
        }
    }

    @Test
    fun `the SVG image contains every process and event kind`() {
        val svg = mergeTimeline(listOf(configurationAdopted("a", 1, 1), sent("b", 1, 1, "a", 1))).toSvg()
        listOf("a@1", "b@1", "message-sent", "configuration-adopted").forEach { assertContains(svg, it) }
    }

    /** Returns the events of four processes that send each other messages and whose clocks differ by up to a minute. */
    private fun randomTraffic(random: Random): List<EventRecord> {
        val names = listOf("a", "b", "c", "d")
        val clockOffsetsMs = names.associateWith { random.nextLong(60_000) }
        val lastSeqs = names.associateWithTo(HashMap()) { 0L }
        val nextSeq = { name: String -> (lastSeqs.getValue(name) + 1).also { lastSeqs[name] = it } }
        return (1L..60L).flatMap { i ->
            val (from, to) = names.shuffled(random)
            val atMs = i * 10
            listOf(
                sent(from, nextSeq(from), atMs + clockOffsetsMs.getValue(from), to, i),
                received(to, nextSeq(to), atMs + random.nextLong(1, 9) + clockOffsetsMs.getValue(to), from, i),
            )
        }
    }

    private fun record(
        name: String,
        seq: Long,
        atMs: Long,
        event: Event,
    ) = EventRecord(InstanceId(name), Incarnation(1), seq, atMs, event)

    private fun sent(
        name: String,
        seq: Long,
        atMs: Long,
        to: String,
        message: Long,
    ) = record(name, seq, atMs, Event.MessageSent(InstanceId(to), message, "vouch"))

    private fun received(
        name: String,
        seq: Long,
        atMs: Long,
        from: String,
        message: Long,
    ) = record(name, seq, atMs, Event.MessageReceived(InstanceId(from), Incarnation(1), message, "vouch"))

    private fun configurationAdopted(
        name: String,
        seq: Long,
        atMs: Long,
    ) = record(name, seq, atMs, Event.ConfigurationAdopted(ConfigRevision(seq), "platform"))
}
