package io.monsoonpath.app.standin

import io.monsoonpath.app.request.hashKey
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DomainSpec
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Member
import io.monsoonpath.model.PipelineId
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.PoolSpec
import io.monsoonpath.model.Region
import io.monsoonpath.model.RouteSpec
import io.monsoonpath.model.Settings
import io.monsoonpath.model.StageId
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.TimingSettings
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import java.io.File
import java.util.HexFormat

/** The API key of the demonstration's workspace. It protects only the stand-ins and is not a secret. */
internal const val DEMO_KEY = "demo-key.not-a-secret"

/** Returns the demonstration's configuration, with one backend server for each stage kind in [urls]. */
internal fun demoConfiguration(urls: Map<String, String>): Configuration {
    val domain = FailureDomain("fd1")
    return Configuration(
        revision = ConfigRevision(1),
        domains = listOf(DomainSpec(domain, Region("r1"))),
        pools = urls.keys.map { PoolSpec(PoolId(it), kindOf(it)) },
        backends = urls.map { (kind, url) -> BackendSpec(BackendId("$kind-1"), url, PoolId(kind), domain, 2, 16) },
        pipelines = listOf(PipelineSpec(PipelineId("match"), 4_000, urls.keys.map { stageOf(it) })),
        routes = listOf(RouteSpec("/v1/match", PipelineId("match"))),
        workspaces = listOf(WorkspaceSpec(WorkspaceId("hinges"), rateMilliPerS = 1_000_000, burst = 100)),
        keys = listOf(keyOf(DEMO_KEY, WorkspaceId("hinges"))),
    )
}

private fun kindOf(name: String) = StageKind.valueOf(name.uppercase())

private fun stageOf(kind: String) = StageSpec(StageId(kind), kindOf(kind), PoolId(kind), "/$kind")

private fun keyOf(
    key: String,
    workspace: WorkspaceId,
): KeySpec {
    val salt = ByteArray(16) { it.toByte() }
    return KeySpec(
        id = KeyId(key.substringBefore('.')),
        workspace = workspace,
        saltHex = HexFormat.of().formatHex(salt),
        hashHex = HexFormat.of().formatHex(hashKey(key, salt)),
    )
}

/** Returns settings for the entry instance with [number], which listens on free ports of the loopback address. */
internal fun demoSettings(
    number: Int,
    platformUrl: String,
): Settings {
    val anyPort = Endpoint("127.0.0.1", 0)
    return Settings(
        instance = InstanceId("e$number"),
        region = Region("r1"),
        failureDomain = FailureDomain("fd1"),
        caller = anyPort,
        peer = anyPort,
        operator = anyPort,
        platformUrl = platformUrl,
        peerSecretFile = demoSecretFile,
        timing = TimingSettings(shutdownGraceMs = 0, rightMs = 1_000, takeoverMs = 1_500, claimTtlMs = 5_000),
    )
}

/** The path of a file with the shared secret of the demonstration's instances. It protects only the stand-ins. */
private val demoSecretFile: String by lazy {
    val file = File.createTempFile("monsoonpath-demo", ".secret")
    file.deleteOnExit()
    file.writeText("a secret of the demonstration only")
    file.path
}

/** Returns an instance list with [revision] that contains the demonstration's instances, each with its peer port from [ports]. */
internal fun demoInstances(
    revision: Long,
    ports: Map<InstanceId, Int>,
): InstanceList =
    InstanceList(
        ListRevision(revision),
        ports.map { (id, port) -> Member(id, Endpoint("127.0.0.1", port), Region("r1"), FailureDomain("fd1")) },
    )
