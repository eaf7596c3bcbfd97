package io.monsoonpath.app.event

import io.monsoonpath.model.Event
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

class EventLogTest {
    private class Case(
        val emitted: Int,
        val after: Long,
        val limit: Int,
        val expected: LongRange,
        val dropped: Long,
    )

    private val cases =
        listOf(
            Case(emitted = 0, after = 0, limit = 9, expected = LongRange.EMPTY, dropped = 0),
            Case(emitted = 3, after = 0, limit = 9, expected = 1L..3, dropped = 0),
            Case(emitted = 3, after = 2, limit = 9, expected = 3L..3, dropped = 0),
            Case(emitted = 3, after = 3, limit = 9, expected = LongRange.EMPTY, dropped = 0),
            Case(emitted = 9, after = 0, limit = 9, expected = 6L..9, dropped = 5),
            Case(emitted = 9, after = 0, limit = 2, expected = 6L..7, dropped = 5),
            Case(emitted = 9, after = 99, limit = 9, expected = LongRange.EMPTY, dropped = 5),
        )

    @TestFactory
    fun `the newest events are retained and the dropped ones counted`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest("${case.emitted} events, after ${case.after}, at most ${case.limit}") {
                val log = createLog(capacity = 4)
                repeat(case.emitted) { log.emit(Event.StateChanged("s", "$it")) }
                assertEquals(case.expected.toList(), log.after(case.after, case.limit).map { it.seq })
                assertEquals(case.dropped, log.dropped)
            }
        }

    @Test
    fun `sequence numbers have no gaps when several threads write`() {
        val log = createLog(capacity = 4_000)
        val writers = List(4) { thread { repeat(1_000) { log.emit(Event.StateChanged("s", "$it")) } } }
        writers.forEach { it.join() }
        assertEquals((1L..4_000).toList(), log.after(0).map { it.seq })
    }

    private fun createLog(capacity: Int) = EventLog(InstanceId("e1"), Incarnation(1), { 0 }, capacity)
}
