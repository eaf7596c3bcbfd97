package io.monsoonpath.model

/** Checks what the types cannot express: value ranges, unique ids, and references within the document. */
fun Configuration.validate(): ValidationResult<Configuration> {
    val problems = ProblemList()
    problems.requireIn(revision.value, 1..Long.MAX_VALUE, "$.revision")
    checkDomains(problems)
    checkModels(problems)
    checkPools(problems)
    checkBackends(problems)
    checkPipelines(problems)
    checkRoutes(problems)
    checkWorkspaces(problems)
    checkKeys(problems)
    problems.requireIn(weightStore.loadsPerMin.toLong(), 1L..10_000, "$.weightStore.loadsPerMin")
    problems.requireIn(weightStore.concurrentLoads.toLong(), 1L..1_000, "$.weightStore.concurrentLoads")
    return problems.toResult(this)
}

private fun Configuration.checkDomains(problems: ProblemList) {
    problems.require(domains.isNotEmpty(), "$.domains", "[]", "must name at least one failure domain")
    problems.requireDistinct(domains.map { it.id }, "$.domains")
    domains.forEachIndexed { i, domain ->
        problems.requireId(domain.id.value, "$.domains[$i].id")
        problems.requireId(domain.region.value, "$.domains[$i].region")
    }
}

private fun Configuration.checkModels(problems: ProblemList) {
    problems.requireDistinct(models.map { it.id }, "$.models")
    models.forEachIndexed { i, model ->
        problems.requireId(model.id.value, "$.models[$i].id")
        problems.requireIn(model.version.toLong(), 1L..1_000_000, "$.models[$i].version")
        problems.requireIn(model.loadMb.toLong(), 0L..10_000_000, "$.models[$i].loadMb")
        problems.requireDistinct(model.adapters, "$.models[$i].adapters")
    }
}

private fun Configuration.checkPools(problems: ProblemList) {
    val known = models.mapTo(HashSet()) { it.id }
    problems.requireDistinct(pools.map { it.id }, "$.pools")
    pools.forEachIndexed { i, pool ->
        problems.requireId(pool.id.value, "$.pools[$i].id")
        pool.models.forEachIndexed { j, id -> problems.require(id in known, "$.pools[$i].models[$j]", id, "must name a model") }
    }
}

private fun Configuration.checkBackends(problems: ProblemList) {
    val knownPools = pools.mapTo(HashSet()) { it.id }
    val knownDomains = domains.mapTo(HashSet()) { it.id }
    problems.requireDistinct(backends.map { it.id }, "$.backends")
    problems.requireDistinct(backends.map { it.url }, "$.backends.url")
    backends.forEachIndexed { i, backend ->
        val path = "$.backends[$i]"
        problems.requireId(backend.id.value, "$path.id")
        problems.requireUrl(backend.url, "$path.url")
        problems.require(backend.pool in knownPools, "$path.pool", backend.pool, "must name a pool")
        problems.require(backend.domain in knownDomains, "$path.domain", backend.domain, "must name a failure domain")
        problems.requireIn(backend.fullLoad.toLong(), 1L..100_000, "$path.fullLoad")
        problems.requireIn(backend.coldLoad.toLong(), 1L..backend.fullLoad.coerceAtLeast(1), "$path.coldLoad")
    }
}

private fun Configuration.checkPipelines(problems: ProblemList) {
    problems.requireDistinct(pipelines.map { it.id }, "$.pipelines")
    pipelines.forEachIndexed { i, pipeline ->
        val path = "$.pipelines[$i]"
        problems.requireId(pipeline.id.value, "$path.id")
        problems.requireIn(pipeline.deadlineMs, 1L..600_000, "$path.deadlineMs")
        problems.requireIn(pipeline.stages.size.toLong(), 1L..MAX_STAGES, "$path.stages.size")
        problems.requireDistinct(pipeline.stages.map { it.id }, "$path.stages")
        pipeline.stages.forEachIndexed { j, stage -> checkStage(stage, "$path.stages[$j]", problems) }
    }
}

private fun Configuration.checkStage(
    stage: StageSpec,
    path: String,
    problems: ProblemList,
) {
    val pool = pools.firstOrNull { it.id == stage.pool }
    problems.requireId(stage.id.value, "$path.id")
    problems.require(pool != null, "$path.pool", stage.pool, "must name a pool")
    problems.require(pool == null || pool.kind == stage.kind, "$path.kind", stage.kind, "must be the same as the kind of its pool")
    problems.requirePath(stage.path, "$path.path")
    problems.requireIn(stage.expectedMs, 1L..600_000, "$path.expectedMs")
    problems.require(
        stage.model == null || pool == null || stage.model in pool.models,
        "$path.model",
        stage.model,
        "must be a model of its pool",
    )
}

private fun Configuration.checkRoutes(problems: ProblemList) {
    val known = pipelines.associateBy { it.id }
    problems.requireDistinct(routes.map { it.path }, "$.routes")
    routes.forEachIndexed { i, route ->
        val pipeline = known[route.pipeline]
        problems.requirePath(route.path, "$.routes[$i].path")
        problems.require(pipeline != null, "$.routes[$i].pipeline", route.pipeline, "must name a pipeline")
        val repeatable = pipeline == null || pipeline.stages.all { it.idempotent }
        problems.require(!route.idempotent || repeatable, "$.routes[$i].idempotent", true, "must be false: a stage is not idempotent")
    }
}

private fun Configuration.checkWorkspaces(problems: ProblemList) {
    val knownRegions = domains.mapTo(HashSet()) { it.region }
    problems.requireDistinct(workspaces.map { it.id }, "$.workspaces")
    workspaces.forEachIndexed { i, workspace ->
        val path = "$.workspaces[$i]"
        problems.requireId(workspace.id.value, "$path.id")
        problems.requireIn(workspace.rateMilliPerS, 1L..1_000_000_000, "$path.rateMilliPerS")
        problems.requireIn(workspace.burst.toLong(), 1L..1_000_000, "$path.burst")
        problems.requireIn(workspace.weight.toLong(), 1L..10_000, "$path.weight")
        problems.requireIn(workspace.priority.toLong(), 0L..9, "$path.priority")
        workspace.maxRunning?.let { problems.requireIn(it.toLong(), 1L..1_000_000, "$path.maxRunning") }
        checkRegionShares(workspace, path, knownRegions, problems)
    }
}

private fun checkRegionShares(
    workspace: WorkspaceSpec,
    path: String,
    knownRegions: Set<Region>,
    problems: ProblemList,
) {
    if (workspace.regionShares.isEmpty()) return
    workspace.regionShares.forEach { (region, share) ->
        problems.require(region in knownRegions, "$path.regionShares.$region", region, "must name a region")
        problems.requireIn(share.toLong(), 0L..TOTAL_SHARE, "$path.regionShares.$region")
    }
    val total = workspace.regionShares.values.sumOf { it.toLong() }
    problems.require(total == TOTAL_SHARE, "$path.regionShares", total, "must add up to $TOTAL_SHARE")
}

private fun Configuration.checkKeys(problems: ProblemList) {
    val known = workspaces.mapTo(HashSet()) { it.id }
    problems.requireDistinct(keys.map { it.id }, "$.keys")
    keys.forEachIndexed { i, key ->
        problems.requireId(key.id.value, "$.keys[$i].id")
        problems.require(key.workspace in known, "$.keys[$i].workspace", key.workspace, "must name a workspace")
        problems.require(HEX_16_BYTES.matches(key.saltHex), "$.keys[$i].saltHex", key.saltHex, "must be 32 lower-case hexadecimal digits")
        problems.require(HEX_32_BYTES.matches(key.hashHex), "$.keys[$i].hashHex", key.hashHex, "must be 64 lower-case hexadecimal digits")
    }
}

/** Checks the value ranges and addresses in the settings of an instance. */
fun Settings.validate(): ValidationResult<Settings> {
    val problems = ProblemList()
    problems.requireId(instance.value, "$.instance")
    problems.requireId(region.value, "$.region")
    problems.requireId(failureDomain.value, "$.failureDomain")
    problems.requireEndpoint(caller, "$.caller")
    problems.requireEndpoint(peer, "$.peer")
    problems.requireEndpoint(operator, "$.operator")
    problems.requireUrl(platformUrl, "$.platformUrl")
    problems.require(peerSecretFile.isNotBlank(), "$.peerSecretFile", peerSecretFile, "must name a file")
    problems.requireIn(limits.maxBodyBytes, 1L..67_108_864, "$.limits.maxBodyBytes")
    problems.requireIn(limits.maxHeaderBytes.toLong(), 1_024L..1_048_576, "$.limits.maxHeaderBytes")
    problems.requireIn(limits.maxConnections.toLong(), 1L..1_000_000, "$.limits.maxConnections")
    problems.requireIn(limits.maxRunning.toLong(), 1L..1_000_000, "$.limits.maxRunning")
    problems.requireIn(limits.maxQueued.toLong(), 0L..1_000_000, "$.limits.maxQueued")
    problems.requireIn(limits.callerIdleTimeoutMs, 100L..3_600_000, "$.limits.callerIdleTimeoutMs")
    problems.requireIn(timing.shutdownGraceMs, 0L..600_000, "$.timing.shutdownGraceMs")
    problems.requireIn(timing.shutdownDrainMs, 0L..3_600_000, "$.timing.shutdownDrainMs")
    problems.requireIn(timing.rightMs, 500L..120_000, "$.timing.rightMs")
    problems.requireIn(timing.takeoverMs, 500L..3_600_000, "$.timing.takeoverMs")
    problems.requireIn(timing.claimTtlMs, 1_000L..3_600_000, "$.timing.claimTtlMs")
    problems.requireIn(timing.peerTimeoutMs, 5L..10_000, "$.timing.peerTimeoutMs")
    return problems.toResult(this)
}

/** Checks that the list contains each instance once, with a valid address. */
fun InstanceList.validate(): ValidationResult<InstanceList> {
    val problems = ProblemList()
    problems.requireIn(revision.value, 1..Long.MAX_VALUE, "$.revision")
    problems.requireDistinct(members.map { it.id }, "$.members")
    members.forEachIndexed { i, member ->
        problems.requireId(member.id.value, "$.members[$i].id")
        problems.requireEndpoint(member.peer, "$.members[$i].peer")
    }
    return problems.toResult(this)
}

private fun ProblemList.requirePath(
    path: String,
    at: String,
) = require(PATH_PATTERN.matches(path), at, path, "must be an absolute path without query, of at most 200 characters")

private fun ProblemList.requireUrl(
    url: String,
    path: String,
) {
    val match = URL_PATTERN.matchEntire(url)
    require(match != null, path, url, "must be http://IP:PORT")
    if (match != null) requireEndpoint(Endpoint(match.groupValues[1].trim('[', ']'), match.groupValues[2].toInt()), path)
}

private fun ProblemList.requireEndpoint(
    endpoint: Endpoint,
    path: String,
) {
    require(
        IPV4_PATTERN.matches(endpoint.host) || IPV6_PATTERN.matches(endpoint.host),
        "$path.host",
        endpoint.host,
        "must be a numeric IP address",
    )
    requireIn(endpoint.port.toLong(), 0L..65_535, "$path.port")
}

private const val MAX_STAGES = 6L
private const val TOTAL_SHARE = 1_000L
private val HEX_16_BYTES = Regex("[0-9a-f]{32}")
private val HEX_32_BYTES = Regex("[0-9a-f]{64}")
private val PATH_PATTERN = Regex("/[A-Za-z0-9._~/-]{0,199}")
private val URL_PATTERN = Regex("http://(\\[[0-9a-fA-F:]+]|[0-9.]+):(\\d{1,5})")
private val IPV4_PATTERN = Regex("((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)")
private val IPV6_PATTERN = Regex("[0-9a-fA-F:]*:[0-9a-fA-F:]*")
