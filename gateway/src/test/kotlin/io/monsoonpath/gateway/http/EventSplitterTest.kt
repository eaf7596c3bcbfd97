package io.monsoonpath.gateway.http

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class EventSplitterTest {
    private class Case(
        val name: String,
        val chunks: List<String>,
        val events: List<Pair<Long?, String>>,
        val pendingBytes: Int = 0,
    )

    private val cases =
        listOf(
            Case("one event in one chunk", listOf("id: 1\ndata: a\n\n"), listOf(1L to "id: 1\ndata: a\n\n")),
            Case("two events in one chunk", listOf("id:1\n\nid:2\n\n"), listOf(1L to "id:1\n\n", 2L to "id:2\n\n")),
            Case("an event split over three chunks", listOf("id:", "7\nda", "ta: x\n\n"), listOf(7L to "id:7\ndata: x\n\n")),
            Case("a blank line split over two chunks", listOf("id:1\n", "\nid:2"), listOf(1L to "id:1\n\n"), pendingBytes = 4),
            Case("lines that end with CRLF", listOf("id: 3\r\ndata: a\r\n\r\n"), listOf(3L to "id: 3\r\ndata: a\r\n\r\n")),
            Case("an x-version field before the id field", listOf("x-version: 2\nid: 4\n\n"), listOf(4L to "x-version: 2\nid: 4\n\n")),
            Case("an event without an id", listOf("data: a\n\n"), listOf(null to "data: a\n\n")),
            Case("an incomplete event after a complete one", listOf("id: 1\n\nid: 2\ndat"), listOf(1L to "id: 1\n\n"), pendingBytes = 9),
        )

    @TestFactory
    fun `splits a stream into events`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val splitter = EventSplitter(BufferBudget())
                val events = case.chunks.flatMap { splitter.add(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
                assertEquals(case.events, events.map { it.id to String(it.bytes) })
                assertEquals(case.pendingBytes, splitter.pendingBytes)
            }
        }
}
