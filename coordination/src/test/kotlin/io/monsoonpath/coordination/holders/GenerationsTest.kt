package io.monsoonpath.coordination.holders

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellList
import io.monsoonpath.coordination.sim.simMembers
import io.monsoonpath.coordination.succession.Generations
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.ListRevision
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class GenerationsTest {
    private fun process(
        index: Int,
        incarnation: Long,
    ) = PeerId(InstanceId("e$index"), Incarnation(incarnation))

    /** Starts process after process of e0, each noted by the peers of its case before it dies; the numbers have to rise. */
    @TestFactory
    fun `each process of an id gets a higher number`(): List<DynamicTest> =
        listOf(
            2 to List(4) { listOf(1) },
            3 to List(4) { listOf(1, 2) },
            5 to listOf(listOf(1, 2, 3), listOf(2, 3, 4), listOf(3, 4, 1), listOf(4, 1, 2)),
        ).map { (members, notedBy) -> dynamicTest("$members members, noted by $notedBy") { check(members, notedBy) } }

    private fun check(
        members: Int,
        notedBy: List<List<Int>>,
    ) {
        val cell = CellList(ListRevision(1), simMembers(members))
        val peers = (1 until members).associateWith { Generations(process(it, 100L + it)) }
        val numbers =
            notedBy.mapIndexed { incarnation, noting ->
                val self = process(0, incarnation.toLong())
                val started = Generations(self)
                repeat(2) {
                    noting.forEach { i -> started.onAnswer(process(i, 100L + i), peers.getValue(i).register(self, started.own)) }
                }
                started.confirmed(cell)
            }
        assertEquals(numbers.filterNotNull().sorted().distinct(), numbers)
    }
}
