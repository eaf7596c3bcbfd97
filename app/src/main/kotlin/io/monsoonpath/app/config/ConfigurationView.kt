package io.monsoonpath.app.config

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DomainSpec
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.KeySpec
import io.monsoonpath.model.PipelineId
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RouteSpec
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec

/** A configuration with the indexes that the path of a request looks things up in; immutable. */
internal class ConfigurationView(
    val configuration: Configuration,
) {
    private val routes: Map<String, RouteSpec> = configuration.routes.associateBy { it.path }
    private val pipelines: Map<PipelineId, PipelineSpec> = configuration.pipelines.associateBy { it.id }
    private val workspaces: Map<WorkspaceId, WorkspaceSpec> = configuration.workspaces.associateBy { it.id }
    private val backendsByPool: Map<PoolId, List<BackendSpec>> = configuration.backends.groupBy { it.pool }
    private val domains: Map<FailureDomain, DomainSpec> = configuration.domains.associateBy { it.id }

    private val keys: Map<String, KeySpec> = configuration.keys.associateBy { it.id.value }
    private val backendsById: Map<BackendId, BackendSpec> = configuration.backends.associateBy { it.id }
    private val instancesOut: Set<InstanceId> = configuration.instancesOut.toSet()
    private val eligibleBackends: Map<PoolId, List<BackendSpec>> = backendsByPool.mapValues { (_, all) -> all.filter { it.isInService() } }

    /** Returns the key with the public [id], be it in force or withdrawn, or null. */
    fun keyOrNull(id: String): KeySpec? = keys[id]

    /** Tells whether [key] is still in force, unchanged. */
    fun isActive(key: KeySpec): Boolean = !key.withdrawn && keys[key.id.value] == key

    /** Returns the route at [path], or null. */
    fun routeOrNull(path: String): RouteSpec? = routes[path]

    /** Returns the pipeline [id], which the document's validation has made sure of. */
    fun pipeline(id: PipelineId): PipelineSpec = pipelines.getValue(id)

    /** Returns the workspace [id], which the document's validation has made sure of. */
    fun workspace(id: WorkspaceId): WorkspaceSpec = workspaces.getValue(id)

    /** Returns the backend servers of [pool] that may receive new work. */
    fun eligibleBackends(pool: PoolId): List<BackendSpec> = eligibleBackends[pool].orEmpty()

    /** Tells whether [backend] may receive new work: it is still published, not leaving, and its failure domain is in service. */
    fun isEligible(backend: BackendSpec): Boolean {
        val current = backendsById[backend.id] ?: return false
        return current.url == backend.url && current.isInService()
    }

    /** Tells whether operators took [instance], or the failure domain that it is in, out of service. */
    fun isOutOfService(
        instance: InstanceId,
        domain: FailureDomain,
    ): Boolean = instance in instancesOut || domains[domain]?.out == true

    private fun BackendSpec.isInService() = !leaving && domains[domain]?.out == false
}
