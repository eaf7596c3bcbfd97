package io.monsoonpath.gateway.http

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Events without end in many streams took all of the memory of an instance. */
class BufferBudgetTest {
    private val part = Unpooled.wrappedBuffer(ByteArray(PART_BYTES))

    private class Case(
        val name: String,
        val streams: Int,
        val bytesEach: Int,
        val isOverflowing: Boolean,
    )

    @TestFactory
    fun `an event may be long as long as the events of all streams fit`() =
        listOf(
            Case("one long event", 1, 512 * 1024, isOverflowing = false),
            Case("an event longer than any of an engine", 1, 1_100 * 1024, isOverflowing = true),
            Case("many short events", 100, 8 * 1024, isOverflowing = false),
            Case("long events that do not fit together", 8, 256 * 1024, isOverflowing = true),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val splitters = BufferBudget(BUDGET_BYTES).let { budget -> List(case.streams) { EventSplitter(budget) } }
                repeat(case.bytesEach / PART_BYTES) { splitters.forEach { it.add(part) } }
                assertEquals(case.isOverflowing, splitters.any { it.isOverflowing })
            }
        }

    @Test
    fun `the streams that are cut off free their memory for the others`() {
        val budget = BufferBudget(BUDGET_BYTES)
        val splitters = List(100) { EventSplitter(budget) }
        var peakBytes = 0L
        repeat(200) {
            for (splitter in splitters) {
                splitter.add(part)
                peakBytes = maxOf(peakBytes, budget.usedBytes)
                if (splitter.isOverflowing) splitter.clear()
            }
        }
        // Each stream may take its fair share, and one doubles its buffer beyond the budget.
        val maxBytes = 2 * BUDGET_BYTES + splitters.size * 2 * BufferBudget.FAIR_BYTES
        assertTrue(peakBytes <= maxBytes, "$peakBytes bytes were used")
        splitters.forEach { it.clear() }
        assertEquals(0, budget.usedBytes)
    }

    @Test
    fun `a buffer that was taken counts no more`() {
        val budget = BufferBudget(BUDGET_BYTES)
        val buffer = BudgetedBuffer(budget)
        repeat(512) { buffer.append(part) }
        assertFalse(buffer.mayGrow)
        assertEquals(512 * PART_BYTES, buffer.take().readableBytes())
        assertEquals(0, budget.usedBytes)
        assertTrue(buffer.mayGrow)
    }

    private companion object {
        const val PART_BYTES = 4 * 1024
        const val BUDGET_BYTES = 1L shl 20
    }
}
