package io.monsoonpath.app.questionnaire

import io.monsoonpath.model.Access
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DomainSpec
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.Fencing
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.ModelId
import io.monsoonpath.model.ModelSpec
import io.monsoonpath.model.PipelineId
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.PoolSpec
import io.monsoonpath.model.Problem
import io.monsoonpath.model.Region
import io.monsoonpath.model.RouteSpec
import io.monsoonpath.model.Settings
import io.monsoonpath.model.StageId
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import io.monsoonpath.model.validate
import kotlin.math.ceil

/**
 * The documents that are generated from a team's answers.
 *
 * @property settings the settings of each entry instance
 * @property reasons a short text that explains the limits and capacities
 */
internal class Plan(
    val configuration: Configuration,
    val settings: List<Settings>,
    val reasons: String,
)

/** Generates the configuration, the settings and the reasons from the answers, or returns the problems of the answers. */
internal fun Answers.toPlan(): ValidationResult<Plan> {
    val answerProblems = findProblems()
    if (answerProblems.isNotEmpty()) return ValidationResult.Invalid(answerProblems)
    val instanceSettings = instances.map { it.toSettings(this) }
    val settingsProblems =
        instanceSettings.flatMapIndexed {
            i,
            settings,
            ->
            settings.validate().problemsOrEmpty().map { it.withPathPrefix("$.instances[$i]") }
        }
    return when (val validated = toConfiguration().validate()) {
        is ValidationResult.Invalid -> ValidationResult.Invalid(validated.problems + settingsProblems)
        is ValidationResult.Valid ->
            if (settingsProblems.isEmpty()) {
                ValidationResult.Valid(Plan(validated.document, instanceSettings, reasons(validated.document)))
            } else {
                ValidationResult.Invalid(settingsProblems)
            }
    }
}

/** Returns the problems that prevent the generation: references to unknown pools or failure domains, and numbers out of range. */
private fun Answers.findProblems(): List<Problem> {
    val poolNames = pools.map { it.name }
    val domains = regions.flatMap { it.domains }
    val problems = mutableListOf<Problem>()
    pipelines.forEachIndexed { i, pipeline ->
        if (pipeline.peakPerS <= 0) problems += Problem("$.pipelines[$i].peakPerS", "${pipeline.peakPerS}", "must be greater than 0")
        pipeline.stages.forEachIndexed { j, stage ->
            if (stage.pool !in poolNames) problems += Problem("$.pipelines[$i].stages[$j].pool", stage.pool, "must name a pool")
        }
    }
    workspaces.forEachIndexed { i, workspace ->
        if (workspace.share !in SHARE_RANGE) problems += Problem("$.workspaces[$i].share", "${workspace.share}", "must be from 1 to 1000")
    }
    instances.forEachIndexed { i, instance ->
        if (instance.domain !in domains) problems += Problem("$.instances[$i].domain", instance.domain, "must name a failure domain")
    }
    return problems
}

private fun Answers.toConfiguration() =
    Configuration(
        revision = ConfigRevision(1),
        domains = regions.flatMap { answer -> answer.domains.map { DomainSpec(FailureDomain(it), Region(answer.region)) } },
        models = pools.flatMap { it.models }.distinct().map { toModel(it) },
        pools = pools.map { pool -> PoolSpec(PoolId(pool.name), pool.kind, pool.models.map { toModel(it).id }) },
        backends = pools.flatMap { pool -> pool.servers.map { it.toBackend(pool) } },
        pipelines = pipelines.map { it.toPipeline(pools) },
        routes = pipelines.map { it.toRoute() },
        workspaces = workspaces.map { toWorkspace(it) },
    )

private fun toModel(text: String) =
    ModelSpec(ModelId(text.substringBefore(':')), loadMb = text.substringAfter(':', "0").toIntOrNull() ?: -1)

private fun ServerAnswer.toBackend(pool: PoolAnswer) =
    BackendSpec(
        id = BackendId(id),
        url = address.toUrl(),
        pool = PoolId(pool.name),
        domain = FailureDomain(domain),
        coldLoad = pool.coldConcurrency,
        fullLoad = pool.warmConcurrency,
        fencing = if (pool.checksFencing) Fencing.CHECKS else Fencing.IGNORES,
    )

private fun Endpoint.toUrl() = if (':' in host) "http://[$host]:$port" else "http://$host:$port"

private fun PipelineAnswer.toPipeline(pools: List<PoolAnswer>) =
    PipelineSpec(PipelineId(name), deadlineMs, stages.map { stage -> stage.toStage(pools.first { it.name == stage.pool }) })

private fun StageAnswer.toStage(pool: PoolAnswer) =
    StageSpec(StageId(name), pool.kind, PoolId(pool.name), path, mayRepeat, model?.let { ModelId(it) }, expectedMs)

private fun PipelineAnswer.toRoute() =
    RouteSpec(path, PipelineId(name), if (open) Access.OPEN else Access.KEYED, idempotent = stages.all { it.mayRepeat })

/**
 * Derives the limits of [workspace].
 *
 * The rate is the workspace's share of the peak load of all routes that require a key, times [HEADROOM_FACTOR]. The burst is
 * the number of requests at that rate in [BURST_WINDOW_S] seconds, at least [MIN_BURST]. The weight is the share.
 */
private fun Answers.toWorkspace(workspace: WorkspaceAnswer): WorkspaceSpec {
    val peakPerS = pipelines.filter { !it.open }.sumOf { it.peakPerS }
    val ratePerS = peakPerS * workspace.share / workspaces.sumOf { it.share } * HEADROOM_FACTOR
    return WorkspaceSpec(
        id = WorkspaceId(workspace.name),
        rateMilliPerS = ceil(ratePerS * MILLI_PER_UNIT).toLong().coerceAtLeast(1),
        burst = ceil(ratePerS * BURST_WINDOW_S).toInt().coerceAtLeast(MIN_BURST),
        weight = workspace.share,
        priority = workspace.priority,
    )
}

private fun InstanceAnswer.toSettings(answers: Answers) =
    Settings(
        instance = InstanceId(id),
        region = Region(answers.regions.first { domain in it.domains }.region),
        failureDomain = FailureDomain(domain),
        caller = Endpoint(host, firstPort),
        peer = Endpoint(host, firstPort + 1),
        operator = Endpoint(host, firstPort + 2),
        platformUrl = answers.platformUrl,
        peerSecretFile = "peer.secret",
    )

private fun ValidationResult<*>.problemsOrEmpty() = (this as? ValidationResult.Invalid)?.problems.orEmpty()

private fun Problem.withPathPrefix(path: String) = copy(path = path + this.path.removePrefix("$"))

/** The ratio of a workspace's rate to its share of the peak load. */
internal const val HEADROOM_FACTOR = 1.5

/** A workspace's burst is the number of requests that its rate allows in this time, in seconds. */
internal const val BURST_WINDOW_S = 4

/** The minimum burst, in requests. It allows a small workspace to send a few requests at once. */
internal const val MIN_BURST = 4

private const val MILLI_PER_UNIT = 1_000
private val SHARE_RANGE = 1..1_000
