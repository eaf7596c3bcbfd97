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

/** An immutable configuration with the indexes for the lookups of request processing. */
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

    /** Returns the key with the public [id], active or withdrawn, or null if there is none. */
    fun keyOrNull(id: String): KeySpec? = keys[id]

    /** Returns whether [key] is not withdrawn and is part of this configuration without changes. */
    fun isActive(key: KeySpec): Boolean = !key.withdrawn && keys[key.id.value] == key

    /** Returns the route at [path], or null if there is none. */
    fun routeOrNull(path: String): RouteSpec? = routes[path]

    /** Returns the pipeline with the [id]. The validation of the document guarantees that every referenced pipeline exists. */
    fun pipeline(id: PipelineId): PipelineSpec = pipelines.getValue(id)

    /** Returns the workspace with the [id]. The validation of the document guarantees that every referenced workspace exists. */
    fun workspace(id: WorkspaceId): WorkspaceSpec = workspaces.getValue(id)

    /** Returns the backend servers of [pool] that may receive new requests. */
    fun eligibleBackends(pool: PoolId): List<BackendSpec> = eligibleBackends[pool].orEmpty()

    /**
     * Returns whether [backend] may receive new requests.
     *
     * The configuration must contain it with the same URL, it must not be leaving, and its failure domain must be in service.
     */
    fun isEligible(backend: BackendSpec): Boolean {
        val current = backendsById[backend.id] ?: return false
        return current.url == backend.url && current.isInService()
    }

    /** Returns whether operators took [instance] or its failure [domain] out of service. */
    fun isOutOfService(
        instance: InstanceId,
        domain: FailureDomain,
    ): Boolean = instance in instancesOut || domains[domain]?.out == true

    private fun BackendSpec.isInService() = !leaving && domains[domain]?.out == false
}
