package io.monsoonpath.app.load

import io.monsoonpath.model.Problem
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.readDocument
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlin.math.ln
import kotlin.random.Random

/**
 * A load to put on running entry instances.
 *
 * @property seed the seed of the arrival times
 * @property targets the callers' addresses, `http://IP:PORT`, used in turn as a balancer would
 * @property operators the operators' addresses, `IP:PORT`, from which the cost by stage is read; may be empty
 */
@Serializable
internal data class LoadPlan(
    val seed: Long = 1,
    val durationMs: Long,
    val targets: List<String>,
    val operators: List<String> = emptyList(),
    val flows: List<Flow>,
)

/**
 * Requests of one workspace to one path.
 *
 * @property name what the report calls it
 * @property keyFile a file with the key, or null for an open route
 * @property deadlineMs the deadline sent along, and by which attainment is measured
 * @property stream whether to ask for a stream of tokens
 */
@Serializable
internal data class Flow(
    val name: String,
    val path: String,
    val ratePerS: Double,
    val deadlineMs: Long,
    val keyFile: String? = null,
    val body: JsonElement = JsonObject(emptyMap()),
    val stream: Boolean = false,
)

/** A request that is to be sent at [atMs] after the start, whatever became of those before it. */
internal data class Arrival(
    val atMs: Double,
    val flow: Flow,
)

/** Reads a plan from [text] and checks its ranges. */
internal fun readLoadPlan(text: String): ValidationResult<LoadPlan> =
    when (val reading = readDocument(text, LoadPlan.serializer())) {
        is ValidationResult.Invalid -> reading
        is ValidationResult.Valid -> {
            val problems = reading.document.problems()
            if (problems.isEmpty()) reading else ValidationResult.Invalid(problems)
        }
    }

private fun LoadPlan.problems(): List<Problem> {
    val problems = mutableListOf<Problem>()
    if (durationMs !in 1..MAX_DURATION_MS) problems += Problem("$.durationMs", "$durationMs", "must lie from 1 to $MAX_DURATION_MS")
    if (targets.isEmpty()) problems += Problem("$.targets", "[]", "must name at least one address")
    if (flows.isEmpty()) problems += Problem("$.flows", "[]", "must have at least one flow")
    if (flows.map { it.name }.distinct().size < flows.size) problems += Problem("$.flows", "names", "must be unique")
    flows.forEachIndexed { i, flow ->
        if (flow.ratePerS !in MIN_RATE_PER_S..MAX_RATE_PER_S) {
            problems += Problem("$.flows[$i].ratePerS", "${flow.ratePerS}", "must lie from $MIN_RATE_PER_S to $MAX_RATE_PER_S")
        }
        if (flow.deadlineMs < 1) problems += Problem("$.flows[$i].deadlineMs", "${flow.deadlineMs}", "must be at least 1")
        if (!flow.path.startsWith("/")) problems += Problem("$.flows[$i].path", flow.path, "must start with /")
    }
    return problems
}

/** Returns all arrivals in order: each flow is a Poisson process, fixed beforehand by the seed. */
internal fun LoadPlan.arrivals(): List<Arrival> =
    flows.flatMapIndexed { i, flow -> flow.arrivals(durationMs, Random(seed * FLOW_SEED_STRIDE + i)) }.sortedBy { it.atMs }

private fun Flow.arrivals(
    durationMs: Long,
    random: Random,
): List<Arrival> =
    generateSequence(
        random.gapMs(ratePerS),
    ) { it + random.gapMs(ratePerS) }.takeWhile { it < durationMs }.map { Arrival(it, this) }.toList()

private fun Random.gapMs(ratePerS: Double) = -ln(1 - nextDouble()) / ratePerS * MS_PER_S

/** Keeps the arrival times of one flow apart from those of the others and of the next seeds. */
private const val FLOW_SEED_STRIDE = 1_000_003L
private const val MAX_DURATION_MS = 3_600_000L
private const val MIN_RATE_PER_S = 0.001
private const val MAX_RATE_PER_S = 100_000.0
private const val MS_PER_S = 1_000.0
