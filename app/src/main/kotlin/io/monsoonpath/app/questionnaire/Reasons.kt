package io.monsoonpath.app.questionnaire

import io.monsoonpath.model.Configuration
import java.util.Locale
import kotlin.math.ceil

/**
 * Returns a short text that explains the limits and deadlines, and states whether each pool can handle the peak load, also with
 * a failure domain out of service.
 */
internal fun Answers.reasons(configuration: Configuration): String =
    buildString {
        appendLine("# $name: why the configuration is as it is")
        appendLine()
        appendLine("## Limits of workspaces")
        appendLine("Rate: the workspace's share of the keyed peak, times $HEADROOM_FACTOR.")
        appendLine("Burst: what the rate brings in $BURST_WINDOW_S s, at least $MIN_BURST.")
        configuration.workspaces.forEach {
            appendLine("- ${it.id}: ${formatRate(it.rateMilliPerS / MILLI_PER_UNIT)} requests/s, burst ${it.burst}, weight ${it.weight}")
        }
        appendLine()
        appendLine("## Capacity of pools at the peak")
        pools.forEach { append(capacityLine(it)) }
        appendLine()
        appendLine("## Deadlines")
        pipelines.forEach { appendLine(deadlineLine(it)) }
        appendLine()
        appendLine("## Next steps")
        appendLine("1. Put one secret of at least 32 characters into peer.secret, the same for all entry instances.")
        appendLine("2. Issue a key for each workspace: monsoonpath config key issue configuration.json WORKSPACE -o configuration.json")
        appendLine("3. Publish configuration.json on the platform.")
        appendLine("4. Start monsoonpath serve --settings settings-INSTANCE.json on each instance.")
    }

private fun Answers.capacityLine(pool: PoolAnswer): String {
    val requiredPerS = requiredCallsPerS(pool)
    val totalPerS = capacityPerS(pool, pool.servers.size)
    val domains = pool.servers.map { it.domain }.distinct()
    val remainingPerS = domains.minOf { lostDomain -> capacityPerS(pool, pool.servers.count { it.domain != lostDomain }) }
    val assessment =
        when {
            requiredPerS > totalPerS -> "TOO SMALL: add ${serversFor(pool, requiredPerS) - pool.servers.size} servers"
            requiredPerS > remainingPerS -> "enough, but not with a failure domain out: add servers or accept shed load then"
            else -> "enough, also with a failure domain out"
        }
    return "- ${pool.name}: needs ${formatRate(
        requiredPerS,
    )} calls/s, carries ${formatRate(totalPerS)}, with the worst failure domain out ${formatRate(remainingPerS)}: $assessment\n"
}

/** Returns the number of calls per second to [pool] at peak load. */
private fun Answers.requiredCallsPerS(pool: PoolAnswer) =
    pipelines.sumOf { pipeline -> pipeline.peakPerS * pipeline.stages.count { it.pool == pool.name } }

/**
 * Returns the number of calls per second that [servers] warm servers of [pool] can handle.
 *
 * By Little's law, this is the number of concurrent calls divided by the mean duration of a call.
 */
private fun Answers.capacityPerS(
    pool: PoolAnswer,
    servers: Int,
): Double = servers * pool.warmConcurrency * MS_PER_S / meanDurationMs(pool)

/** Returns the mean expected duration of the calls to [pool], weighted by the peak load of their pipelines; 1000 if there are none. */
private fun Answers.meanDurationMs(pool: PoolAnswer): Double {
    val calls = pipelines.flatMap { pipeline -> pipeline.stages.filter { it.pool == pool.name }.map { pipeline.peakPerS to it.expectedMs } }
    val totalPeakPerS = calls.sumOf { it.first }
    return if (totalPeakPerS == 0.0) MS_PER_S else calls.sumOf { (peakPerS, ms) -> peakPerS * ms } / totalPeakPerS
}

private fun Answers.serversFor(
    pool: PoolAnswer,
    requiredPerS: Double,
): Int = ceil(requiredPerS / capacityPerS(pool, 1)).toInt()

private fun deadlineLine(pipeline: PipelineAnswer): String {
    val expectedMs = pipeline.stages.sumOf { it.expectedMs }
    val assessment =
        if (expectedMs * 2 >
            pipeline.deadlineMs
        ) {
            "TIGHT: less than twice the expected time"
        } else {
            "leaves room for queues and one retry"
        }
    return "- ${pipeline.name}: ${pipeline.deadlineMs} ms for stages that take $expectedMs ms: $assessment"
}

private fun formatRate(value: Double) = "%.1f".format(Locale.ROOT, value)

private const val MILLI_PER_UNIT = 1_000.0
private const val MS_PER_S = 1_000.0
