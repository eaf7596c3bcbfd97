package io.monsoonpath.app.control

import com.linecorp.armeria.common.HttpStatus
import io.monsoonpath.app.demo.awaitWithin
import io.monsoonpath.app.http.EntryInstance
import io.monsoonpath.model.Configuration
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FleetTest {
    private class Case(
        val name: String,
        val fault: (LoopbackFleet) -> Unit,
        val follows: (Int) -> Boolean = { true },
    )

    private val cases =
        listOf(
            Case("nothing fails", {}),
            Case("the platform answers the first instance only", { fleet -> fleet.platforms.drop(1).forEach { it.isDown = true } }),
            Case("the platform answers the last instance only", { fleet -> fleet.platforms.dropLast(1).forEach { it.isDown = true } }),
            Case("the platform serves outdated revisions to two instances", { fleet -> fleet.platforms.take(2).forEach { it.freeze() } }),
            Case("the platform takes 400 ms to answer a request", { fleet -> fleet.platforms.forEach { it.delayMs = 400 } }),
        )

    @TestFactory
    fun `a configuration becomes active and a withdrawn key is refused on all instances in time`() =
        cases.map { case ->
            dynamicTest(case.name) {
                withFleet { fleet ->
                    case.fault(fleet)
                    awaitConvergence(fleet)
                    val revision = fleet.publish { it.withKeysWithdrawn() }
                    val tookMs =
                        awaitWithin(ADOPTION_TIMEOUT_MS, "revision $revision on all instances") {
                            fleet.instances.all { revisionOf(it) == revision }
                        }
                    println("${case.name}: active on all instances after $tookMs ms")
                    fleet.instances.forEach { assertEquals(HttpStatus.UNAUTHORIZED, fleet.request(it).status()) }
                }
            }
        }

    @Test
    fun `an instance that is isolated from its peers and the platform refuses keyed routes and loses its lease`() =
        withFleet { fleet ->
            val isolated = fleet.instances[2]
            fleet.setPartitioned(isolated, isPartitioned = true)
            fleet.platforms[2].isDown = true
            fleet.publish(fleet.platforms.take(2)) { it.withKeysWithdrawn() }
            awaitWithin(KEY_WITHDRAWAL_TIMEOUT_MS, "a refusal at ${isolated.id}") {
                "not-in-service" in fleet.request(isolated).contentUtf8()
            }
            awaitWithin(LEASE_CHANGE_TIMEOUT_MS, "the lease of ${isolated.id} expires") { !mayAct(isolated) }
            fleet.setPartitioned(isolated, isPartitioned = false)
            awaitWithin(LEASE_CHANGE_TIMEOUT_MS, "the configuration reaches ${isolated.id}") {
                revisionOf(isolated) == fleet.configuration.revision.value
            }
            awaitWithin(LEASE_CHANGE_TIMEOUT_MS, "${isolated.id} regains its lease") { mayAct(isolated) }
        }

    @Test
    fun `a paused instance refuses requests until its lease and its configuration are current again`() =
        withFleet { fleet ->
            val paused = fleet.instances[0]
            val pause = paused.coordinator.pause()
            awaitWithin(LEASE_CHANGE_TIMEOUT_MS, "the lease of ${paused.id} expires") { !mayAct(paused) }
            awaitWithin(LEASE_CHANGE_TIMEOUT_MS, "a refusal at ${paused.id}") {
                fleet.request(paused).status() == HttpStatus.SERVICE_UNAVAILABLE
            }
            fleet.instances.drop(1).forEach { assertEquals(HttpStatus.OK, fleet.request(it).status()) }
            pause.close()
            awaitWithin(LEASE_CHANGE_TIMEOUT_MS, "${paused.id} serves requests again") { fleet.request(paused).status() == HttpStatus.OK }
        }

    @Test
    fun `a killed and restarted instance obtains the newest configuration from its peers`() =
        withFleet { fleet ->
            fleet.platforms[2].freeze()
            val revision = fleet.publish()
            awaitWithin(ADOPTION_TIMEOUT_MS, "revision $revision on all instances") { fleet.instances.all { revisionOf(it) == revision } }
            fleet.instances[2].coordinator.close()
            fleet.instances.take(2).forEach { assertEquals(HttpStatus.OK, fleet.request(it).status()) }
            fleet.instances += fleet.start(3)
            fleet.publishList()
            awaitWithin(ADOPTION_TIMEOUT_MS, "revision $revision in the restarted process") { revisionOf(fleet.instances.last()) >= 1 }
            assertEquals(revision, revisionOf(fleet.instances.last()))
        }

    @Test
    fun `a workspace gets its burst and rate across all instances whatever the distribution of its requests`() =
        withFleet { fleet ->
            val revision = fleet.publish { it.copy(workspaces = it.workspaces.map { w -> w.copy(rateMilliPerS = 100_000) }) }
            awaitWithin(ADOPTION_TIMEOUT_MS, "the new rate on all instances") { fleet.instances.all { revisionOf(it) == revision } }
            val limit = fleet.configuration.workspaces.single()
            val ratePerS = limit.rateMilliPerS / 1_000.0
            val startNs = System.nanoTime()
            val statuses = ArrayList<HttpStatus>()
            while (System.nanoTime() - startNs < 2 * NS_PER_S) {
                val at = if (statuses.size % 10 == 9) 1 + statuses.size % 2 else 0
                statuses += fleet.request(fleet.instances[at]).status()
            }
            val elapsedS = (System.nanoTime() - startNs) / NS_PER_S.toDouble()
            val admitted = statuses.count { it == HttpStatus.OK }
            println("admitted $admitted of ${statuses.size} requests in $elapsedS s at a rate of $ratePerS per second")
            assertTrue(admitted <= limit.burst + ratePerS * elapsedS, "admitted $admitted requests in $elapsedS s, above the limit")
            assertTrue(
                admitted >= MIN_SHARE * minOf(statuses.size.toDouble(), ratePerS * elapsedS),
                "admitted $admitted of ${statuses.size} requests, too few for the rate",
            )
            assertTrue(
                statuses.all { it == HttpStatus.OK || it == HttpStatus.TOO_MANY_REQUESTS },
                "a request was neither admitted nor rate-limited: $statuses",
            )
        }

    private fun withFleet(test: (LoopbackFleet) -> Unit) =
        LoopbackFleet().use { fleet ->
            fleet.publishList()
            fleet.publish()
            awaitWithin(START_TIMEOUT_MS, "all instances serve requests") { fleet.instances.all { it.coordinator.isServing() } }
            awaitConvergence(fleet)
            test(fleet)
        }

    private fun awaitConvergence(fleet: LoopbackFleet) {
        val revision = fleet.configuration.revision.value
        awaitWithin(START_TIMEOUT_MS, "the latest configuration and successful requests on all instances") {
            fleet.instances.all { revisionOf(it) == revision && fleet.request(it).status() == HttpStatus.OK }
        }
    }

    private fun revisionOf(instance: EntryInstance) = instance.coordinator.replicationStatus.configurationRevision

    private fun mayAct(instance: EntryInstance) = instance.coordinator.membershipSnapshot.mayAct(instance.coordinator.nowMs())

    private fun Configuration.withKeysWithdrawn() = copy(keys = keys.map { it.copy(withdrawn = true) })

    private companion object {
        const val MIN_SHARE = 0.9
        const val NS_PER_S = 1_000_000_000L
        const val START_TIMEOUT_MS = 8_000L
        const val ADOPTION_TIMEOUT_MS = 2_000L
        const val KEY_WITHDRAWAL_TIMEOUT_MS = 3_000L
        const val LEASE_CHANGE_TIMEOUT_MS = 6_000L
    }
}
