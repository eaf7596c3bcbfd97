package io.monsoonpath.app.config

import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DomainSpec
import io.monsoonpath.model.FailureDomain
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
    private val backends: Map<PoolId, List<BackendSpec>> = configuration.backends.groupBy { it.pool }
    private val domains: Map<FailureDomain, DomainSpec> = configuration.domains.associateBy { it.id }

    /** The keys that may be presented, withdrawn ones included, so that their refusal can say so. */
    val keys: List<KeySpec> get() = configuration.keys

    /** Returns the route at [path], or null. */
    fun routeOrNull(path: String): RouteSpec? = routes[path]

    /** Returns the pipeline [id], which the document's validation has made sure of. */
    fun pipeline(id: PipelineId): PipelineSpec = pipelines.getValue(id)

    /** Returns the workspace [id], which the document's validation has made sure of. */
    fun workspace(id: WorkspaceId): WorkspaceSpec = workspaces.getValue(id)

    /** Returns the backend servers of [pool] that may receive new work. */
    fun serving(pool: PoolId): List<BackendSpec> = backends[pool].orEmpty().filter { mayReceive(it) }

    /** Tells whether [backend] may receive new work: it is not leaving, and its failure domain is in service. */
    fun mayReceive(backend: BackendSpec): Boolean = !backend.leaving && domains[backend.domain]?.out == false
}
