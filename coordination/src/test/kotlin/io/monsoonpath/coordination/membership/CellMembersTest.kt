package io.monsoonpath.coordination.membership

import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Member
import io.monsoonpath.model.MemberState
import io.monsoonpath.model.Region
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CellMembersTest {
    private fun member(
        i: Int,
        state: MemberState = MemberState.LIVE,
    ) = Member(InstanceId("e$i"), Endpoint("127.0.0.1", 9000 + i), Region("r1"), FailureDomain("fd${i % 3}"), state)

    private fun cellOf(members: List<Member>) = CellMembers(ListRevision(1), members)

    private val resources = (0 until 2_000).map { resourceOf("unit", "w1", it) }

    @TestFactory
    fun `a lease quorum and a confirm quorum share a member, as do two confirm quorums`(): List<DynamicTest> =
        listOf(1, 2, 3, 4, 6, 9, 103, 410).map { size ->
            dynamicTest("$size members") {
                val cell = cellOf((1..size).map { member(it) })
                assertEquals(size + 1, cell.leaseQuorum + cell.confirmQuorum)
                assertTrue(2 * cell.confirmQuorum > size)
            }
        }

    @Test
    fun `removing a member moves only the resources of which it was the home`() {
        val before = cellOf((1..9).map { member(it) })
        val after = cellOf((1..8).map { member(it) })
        val moved = resources.filter { before.homeOf(it) != after.homeOf(it) }
        assertTrue(moved.isNotEmpty() && moved.all { before.homeOf(it) == InstanceId("e9") })
    }

    @Test
    fun `a leaving member is the home of no resource but remains a member`() {
        val cell = cellOf((1..8).map { member(it) } + member(9, MemberState.LEAVING))
        assertTrue(resources.none { cell.homeOf(it) == InstanceId("e9") })
        assertTrue(InstanceId("e9") in cell)
        assertEquals(9, cell.size)
    }

    @Test
    fun `the first of several homes is the home`() {
        val cell = cellOf((1..9).map { member(it) })
        for (resource in resources) {
            val homes = cell.homesOf(resource, 3)
            assertEquals(cell.homeOf(resource), homes.first())
            assertEquals(3, homes.distinct().size)
        }
    }
}
