package io.monsoonpath.coordination.sim

import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Member
import io.monsoonpath.model.Region
import java.util.stream.LongStream
import kotlin.random.Random

/** The number of random schedules to run, from the system property `monsoonpath.seeds`, 2000 by default. */
val SEED_COUNT: Long = System.getProperty("monsoonpath.seeds")?.toLongOrNull() ?: 2_000

/** Returns members `e0`, `e1`, … in three failure domains of each of [regions] regions. */
fun simMembers(
    count: Int,
    regions: Int = 1,
): List<Member> =
    (0 until count).map { i ->
        Member(InstanceId("e$i"), Endpoint("127.0.0.1", 10_000 + i), Region("r${i % regions}"), FailureDomain("fd${i % (3 * regions)}"))
    }

/** Returns a random schedule of 1 to [maxFaults] faults or isolated removals for [instances] instances, starting before [lastMs]. */
fun randomFaults(
    random: Random,
    instances: Int,
    lastMs: Long,
    maxFaults: Int = 8,
    customs: List<(Random) -> Fault.Custom> = emptyList(),
): List<Fault> =
    List(random.nextInt(1, maxFaults + 1)) {
        val atMs = random.nextLong(1_000, lastMs)
        when {
            customs.isNotEmpty() && random.nextInt(6) == 0 -> listOf(customs.random(random)(random).copy(atMs = atMs))
            random.nextInt(8) == 0 -> removalWhileIsolated(random, random.nextInt(instances), atMs)
            else -> listOf(randomFault(random, instances, atMs))
        }
    }.flatten().sortedBy { it.atMs }

/** Returns faults that isolate or pause an instance while the platform removes it from the list and adds it again. */
private fun removalWhileIsolated(
    random: Random,
    instance: Int,
    atMs: Long,
): List<Fault> {
    val forMs = random.nextLong(3_000, 11_000)
    val dropAtMs = atMs + random.nextLong(500)
    val joinAtMs = dropAtMs + random.nextLong(1_000, 5_000)
    val isolation =
        if (random.nextBoolean()) {
            listOf(Fault.Pause(atMs, forMs, instance))
        } else {
            listOf(Fault.Partition(atMs, forMs, setOf(instance)), Fault.PlatformDown(atMs, forMs, setOf(instance)))
        }
    return isolation + Fault.Drop(dropAtMs, instance) + Fault.Join(joinAtMs, instance)
}

private fun randomFault(
    random: Random,
    instances: Int,
    atMs: Long,
): Fault {
    val forMs = random.nextLong(50, 8_000)
    val one = random.nextInt(instances)
    val some = (0 until instances).filterTo(HashSet()) { random.nextBoolean() }
    return when (random.nextInt(12)) {
        0, 1 -> Fault.Partition(atMs, forMs, some)
        2 -> Fault.OneWayCut(atMs, forMs, one, random.nextInt(instances))
        3 -> Fault.BadLinks(atMs, forMs, random.nextInt(60), random.nextInt(60), random.nextInt(300))
        4 -> Fault.Pause(atMs, forMs, one)
        5, 6 -> Fault.Death(atMs, one, if (random.nextInt(4) == 0) null else random.nextLong(5, 4_000))
        7 -> Fault.PlatformDown(atMs, forMs, some)
        8 -> Fault.PlatformStale(atMs, forMs, some, random.nextInt(1, 5))
        9 -> Fault.Leave(atMs, one)
        10 -> Fault.Drop(atMs, one)
        else -> Fault.Join(atMs, one)
    }
}

/** A fault schedule that violates the checked property. [toString] returns the seed and the schedule for a rerun. */
class FailingSchedule(
    val seed: Long,
    val faults: List<Fault>,
    val problem: String,
) {
    override fun toString(): String = "seed $seed: $problem\nshrunk schedule:\n" + faults.joinToString("\n") { "  $it" }
}

/** Runs [check] for [seeds] in parallel. Returns the shrunk failure of the lowest failing seed, or null if all pass. */
fun firstFailure(
    seeds: LongRange,
    draw: (Long) -> List<Fault>,
    check: (Long, List<Fault>) -> String?,
): FailingSchedule? {
    val seed =
        LongStream
            .rangeClosed(seeds.first, seeds.last)
            .parallel()
            .filter { check(it, draw(it)) != null }
            .findFirst()
    return if (seed.isEmpty) null else shrink(seed.asLong, draw(seed.asLong), check)
}

/** Removes faults one by one while the run still fails. */
private fun shrink(
    seed: Long,
    faults: List<Fault>,
    check: (Long, List<Fault>) -> String?,
): FailingSchedule {
    var remaining = faults
    var isShrunk = true
    while (isShrunk) {
        val smaller = remaining.indices.map { i -> remaining - remaining[i] }.firstOrNull { check(seed, it) != null }
        isShrunk = smaller != null
        if (smaller != null) remaining = smaller
    }
    return FailingSchedule(seed, remaining, checkNotNull(check(seed, remaining)))
}
