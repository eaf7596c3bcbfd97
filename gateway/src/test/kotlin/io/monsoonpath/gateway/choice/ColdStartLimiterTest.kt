package io.monsoonpath.gateway.choice

import io.monsoonpath.model.BackendId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ColdStartLimiterTest {
    private class Case(
        val members: Int,
        val bound: Double,
        /** The number of groups whose instances know only each other. */
        val partitions: Int = 1,
    )

    private val cases =
        listOf(Case(6, 24.5), Case(9, 24.5), Case(9, 41.0), Case(12, 24.5), Case(81, 24.5), Case(81, 24.5, partitions = 2), Case(410, 24.5))

    private fun instancesOf(case: Case): List<ColdStartLimiter> {
        val hosts = List(case.members) { "10.0.${it / 100}.${it % 100}" }
        val maxMembers = maxOf(MIN_MEMBERS, case.members / case.partitions)
        return hosts.mapIndexed { i, host ->
            val view = FleetView(maxMembers, host, hosts.filterIndexed { other, _ -> other % case.partitions == i % case.partitions })
            ColdStartLimiter { view }
        }
    }

    /** Every instance sends as many requests as the limiter allows; requests take up to 50 ms to arrive. */
    @TestFactory
    fun `all instances together stay within the limit of a cold backend server`() =
        cases.map { case ->
            DynamicTest.dynamicTest("${case.members} instances in ${case.partitions} partitions, limit ${case.bound} per second") {
                val random = Random(case.members)
                val server = BackendId("b")
                val instances = instancesOf(case)
                val arrivals = ArrayList<Long>()
                for (nowMs in 0L until 5_000L step STEP_MS) {
                    for (instance in instances) {
                        if (!instance.maySend(server, case.bound, nowMs)) continue
                        instance.recordRequest(server, nowMs)
                        arrivals += nowMs + random.nextLong(50)
                    }
                }
                arrivals.sort()
                val maxArrivals = arrivals.indices.maxOf { first -> arrivals.drop(first).takeWhile { it < arrivals[first] + 1_000 }.size }
                assertTrue(maxArrivals <= case.bound, "$maxArrivals requests arrived within a second, limit ${case.bound}")
                assertTrue(maxArrivals >= case.bound / 3, "only $maxArrivals requests arrived within a second, limit ${case.bound}")
            }
        }

    @Test
    fun `an instance that does not know the fleet sends no requests to cold backend servers`() {
        assertFalse(ColdStartLimiter { null }.maySend(BackendId("b"), 24.5, 0))
    }

    private companion object {
        const val MIN_MEMBERS = 12
        const val STEP_MS = 20L
    }
}
