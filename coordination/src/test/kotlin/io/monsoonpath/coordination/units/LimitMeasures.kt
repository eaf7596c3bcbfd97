package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.sim.Fault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlin.random.Random

private const val INSTANCES = 9
private const val FAULT_MS = 20_000L
private const val END_MS = 60_000L

private class Scenario(
    val name: String,
    val faults: List<Fault> = emptyList(),
    val instances: Int = INSTANCES,
    val untilMs: Long = END_MS,
    val pick: (LimitSimulation, Random) -> Int = { simulation, random -> simulation.pickLiveInstance(random) },
)

private val SCENARIOS =
    listOf(
        Scenario("balanced evenly"),
        Scenario("all to one instance", pick = { _, _ -> 4 }),
        Scenario("one instance dead", deaths(listOf(0))) { _, random -> 1 + random.nextInt(8) },
        Scenario("a failure domain out", deaths(listOf(0, 3, 6))) { _, random -> listOf(1, 2, 4, 5, 7, 8).random(random) },
        Scenario("platform down", listOf(Fault.PlatformDown(FAULT_MS, END_MS, (0 until INSTANCES).toSet()))),
        Scenario("rolling replacement", rollingReplacement(INSTANCES, 6_000), 2 * INSTANCES, untilMs = 92_000),
    )

private val PARTITION_SCENARIOS =
    listOf(
        Scenario("one instance dead", deaths(listOf(0))) { _, random -> 1 + random.nextInt(8) },
        Scenario("minority of 3 cut off for 20 s", partition(setOf(0, 3, 6), 20_000)),
        Scenario("even split of 8 for 20 s", partition(setOf(0, 2, 4, 6), 20_000), instances = 8) { _, random -> random.nextInt(8) },
    )

private fun partition(
    group: Set<Int>,
    forMs: Long,
) = listOf(Fault.Partition(FAULT_MS, forMs, group))

/** Stops [instances] at [FAULT_MS]; the platform removes them from the list two seconds later. */
private fun deaths(instances: List<Int>): List<Fault> =
    instances.map { Fault.Death(FAULT_MS, it, null) } + instances.map { Fault.Drop(FAULT_MS + 2_000 + it, it) }

@OptIn(ExperimentalSerializationApi::class)
private fun bytesOf(message: PeerMessage): Int = Cbor.encodeToByteArray(PeerMessage.serializer(), message).size

private class Traffic {
    var messages = 0L
    var bytes = 0L
    var isCounting = false

    fun count(message: PeerMessage) {
        if (!isCounting) return
        messages++
        bytes += bytesOf(message)
    }
}

private fun simulate(
    scenario: Scenario,
    loadPercent: Int,
    leaseMs: Long,
    configure: (LimitSimulation) -> Unit = {},
): Pair<LimitSimulation, Traffic> {
    val traffic = Traffic()
    val random = Random(11)
    val initial = if (scenario.instances > INSTANCES) INSTANCES else scenario.instances
    val simulation =
        LimitSimulation(
            seed = 11,
            FIVE_WORKSPACES,
            scenario.instances,
            initial,
            scenario.faults,
            MembershipTiming(leaseMs = leaseMs),
            onSent = { _, _, message -> traffic.count(message) },
        )
    configure(simulation)
    simulation.addLoad(FILLED_MS, scenario.untilMs, loadPercent) { scenario.pick(simulation, random) }
    simulation.network.at(FILLED_MS) { traffic.isCounting = true }
    val problem = simulation.run(scenario.untilMs + 1_000)
    check(problem == null) { "${scenario.name}: $problem" }
    return simulation to traffic
}

private fun percent(
    part: Int,
    of: Int,
) = "%.2f %%".format(100.0 * part / of.coerceAtLeast(1))

private fun printRow(
    scenario: Scenario,
    leaseMs: Long,
) {
    val (inside, traffic) = simulate(scenario, loadPercent = 90, leaseMs)
    val (flooded, _) = simulate(scenario, loadPercent = 300, leaseMs)
    val tallies = inside.tallies.values
    val total = tallies.sumOf { it.admitted + it.refused }
    val worst = tallies.maxOf { it.refused.toDouble() / (it.admitted + it.refused) }
    println(
        "| ${scenario.name} | ${leaseMs / 1_000} s | ${flooded.overAdmitted().size} | ${percent(tallies.sumOf { it.refused }, total)} " +
            "| ${"%.2f %%".format(100 * worst)} | ${"%.1f".format(traffic.messages.toDouble() / total)} | ${traffic.bytes / total} |",
    )
}

private fun printIdle(
    instances: Int,
    regions: Int,
    leaseMs: Long,
) {
    val traffic = Traffic()
    val simulation =
        LimitSimulation(
            seed = 3,
            FIVE_WORKSPACES,
            instances,
            timing = MembershipTiming(leaseMs = leaseMs),
            regions = regions,
            onSent = { _, _, message -> traffic.count(message) },
        )
    simulation.network.at(10_000) { traffic.isCounting = true }
    check(simulation.run(40_000) == null)
    val perSecond = instances * 30
    println(
        "| $instances in $regions | ${leaseMs / 1_000} s | ${"%.1f".format(
            traffic.messages.toDouble() / perSecond,
        )} | ${traffic.bytes / perSecond} |",
    )
}

private fun printBaselines(scenario: Scenario) {
    val inside = baselinesUnder(scenario, loadPercent = 90)
    val flooded = baselinesUnder(scenario, loadPercent = 300)
    for ((name, tally) in inside) {
        val shares = "%.2f %% | %.2f %%".format(tally.refusedPercent, tally.worstPercent)
        println("| ${scenario.name} | $name | ${flooded.getValue(name).excessTokens()} | $shares |")
    }
}

private fun baselinesUnder(
    scenario: Scenario,
    loadPercent: Int,
): Map<String, BaselineTally> {
    val tallies = LinkedHashMap<String, BaselineTally>()
    simulate(scenario, loadPercent, leaseMs = 3_000) { simulation ->
        for (baseline in listOf(Baseline.StaticSplit(INSTANCES), Baseline.SingleHome(), Baseline.SlidingWindow())) {
            tallies[baseline.name] = BaselineTally(baseline, simulation.network)
        }
        simulation.onRequest = { node, workspace -> tallies.values.forEach { it.record(node, workspace) } }
    }
    return tallies
}

/** Prints the measurements of the rate limits as the tables of docs/MEASUREMENTS.md. */
fun main() {
    println(
        "| case | right | workspaces over their limit at 3 times the rate | refused inside | worst-served | messages/request | bytes/request |",
    )
    println("| --- | --- | --- | --- | --- | --- | --- |")
    SCENARIOS.forEach { printRow(it, leaseMs = 3_000) }
    println()
    println("| case | baseline | tokens over the limit at 3 times the rate | refused inside | worst-served |")
    println("| --- | --- | --- | --- | --- |")
    SCENARIOS.forEach { printBaselines(it) }
    println()
    for (leaseMs in listOf(3_000L, 10_000L, 30_000L)) PARTITION_SCENARIOS.forEach { printRow(it, leaseMs) }
    println()
    println("| instances in regions | right | messages/s sent | bytes/s sent |")
    println("| --- | --- | --- | --- |")
    for (leaseMs in listOf(3_000L, 10_000L)) {
        printIdle(9, 1, leaseMs)
        printIdle(50, 1, leaseMs)
        printIdle(410, 4, leaseMs)
    }
}
