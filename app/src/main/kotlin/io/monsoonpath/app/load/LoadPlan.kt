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
 * Represents a load to generate against running entry instances.
 *
 * @property seed the seed of the random arrival times
 * @property targets the addresses for callers, `http://IP:PORT`; requests are distributed over them round-robin, as by a load balancer
 * @property operators the addresses for operators, `IP:PORT`, from which the events for the cost per stage are read; may be empty
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
 * Represents the requests of one workspace to one path.
 *
 * @property name the name of this flow in the report; unique within the plan
 * @property keyFile the file that contains the API key, or null for an open route
 * @property deadlineMs the deadline that is sent with each request and against which attainment is measured
 * @property stream whether to request a stream of tokens
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

/** Represents a request to send [atMs] milliseconds after the start, regardless of the outcome of earlier requests. */
internal data class Arrival(
    val atMs: Double,
    val flow: Flow,
)

/** Parses a plan from [text] and validates its values. */
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

/** Returns all arrivals in order of time. Each flow is a Poisson process that is fully determined by the seed. */
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

/** Gives each flow a random seed that differs from those of other flows and of nearby plan seeds. */
private const val FLOW_SEED_STRIDE = 1_000_003L
private const val MAX_DURATION_MS = 3_600_000L
private const val MIN_RATE_PER_S = 0.001
private const val MAX_RATE_PER_S = 100_000.0
private const val MS_PER_S = 1_000.0
