package io.monsoonpath.coordination.holders

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellMembers
import io.monsoonpath.coordination.ownership.Generations
import io.monsoonpath.coordination.sim.simMembers
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

    /** Starts successive processes of e0, each recorded by the given peers before it ends; their generations have to rise. */
    @TestFactory
    fun `each new process of an instance id has a higher generation`(): List<DynamicTest> =
        listOf(
            2 to List(4) { listOf(1) },
            3 to List(4) { listOf(1, 2) },
            5 to listOf(listOf(1, 2, 3), listOf(2, 3, 4), listOf(3, 4, 1), listOf(4, 1, 2)),
        ).map { (members, registeredBy) -> dynamicTest("$members members, recorded by $registeredBy") { check(members, registeredBy) } }

    private fun check(
        members: Int,
        registeredBy: List<List<Int>>,
    ) {
        val cell = CellMembers(ListRevision(1), simMembers(members))
        val peers = (1 until members).associateWith { Generations(process(it, 100L + it)) }
        val numbers =
            registeredBy.mapIndexed { incarnation, registering ->
                val self = process(0, incarnation.toLong())
                val started = Generations(self)
                repeat(2) {
                    registering.forEach { i ->
                        started.recordConfirmation(process(i, 100L + i), peers.getValue(i).register(self, started.own))
                    }
                }
                started.confirmed(cell)
            }
        assertEquals(numbers.filterNotNull().sorted().distinct(), numbers)
    }
}
