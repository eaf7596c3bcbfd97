package io.monsoonpath.coordination.gossip

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class OwnershipTest {
    private class Case(
        val name: String,
        val members: List<MemberDigest>,
        val candidates: List<String>,
    )

    private fun member(
        host: String,
        capacityMillicores: Int,
        isLeaving: Boolean = false,
    ) = MemberDigest(host, incarnation = 1, heartbeat = 1, isLeaving = isLeaving, capacityMillicores = capacityMillicores)

    private val cases =
        listOf(
            Case("no member", emptyList(), emptyList()),
            Case("all of the same size", listOf(member("a", 750), member("b", 750)), listOf("a", "b")),
            Case("sizes are not known", listOf(member("a", 0), member("b", 0)), listOf("a", "b")),
            Case("small members own nothing", listOf(member("a", 360), member("b", 1_500), member("c", 750)), listOf("b", "c")),
            Case("the large member is leaving", listOf(member("a", 360), member("b", 1_500, isLeaving = true)), listOf("a")),
            Case("one member does not tell", listOf(member("a", 0), member("b", 1_500)), listOf("b")),
            Case("all are leaving", listOf(member("a", 360, isLeaving = true)), emptyList()),
        )

    @TestFactory
    fun `the members that can carry work for all are candidates`() =
        cases.map { DynamicTest.dynamicTest(it.name) { assertEquals(it.candidates, ownerCandidates(it.members)) } }
}
