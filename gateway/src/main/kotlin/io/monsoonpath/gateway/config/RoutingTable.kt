package io.monsoonpath.gateway.config

import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.PoolId

/** The limits on the requests and connections of callers. */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

/**
 * One revision of the configuration. Immutable.
 *
 * @property workspaces the workspaces by API key, or null if the configuration defines no workspaces and requires no keys
 */
class RoutingTable(
    val revision: ConfigRevision,
    routes: List<Route>,
    pools: List<Pool>,
    val workspaces: Map<String, Workspace>?,
    val callerLimits: CallerLimits,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, group) -> group.sortedByDescending { it.pathPrefix.length } }
    private val poolsById: Map<PoolId, Pool> = pools.associateBy { it.id }

    private val callPoolsByStagePool: Map<PoolId, Set<PoolId>> =
        routes
            .flatMap { route -> route.stages.flatMap { stage -> route.pools.map { stage.pool to it.pool } } }
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.toSet() }

    /** All combinations of a workspace's and a route's priority, the most urgent first. */
    private val priorities: List<Priority> = prioritiesOf(routes)

    /** The pools of this revision. */
    val pools: Collection<Pool> get() = poolsById.values

    /** Returns the route on [host] with the longest matching prefix of [path], or null if there is none. */
    fun routeOf(
        host: String,
        path: String,
    ): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /**
     * Returns the rank of the requests of [workspace] on [route], from 0 for the most urgent ones of this revision.
     *
     * Requests are ranked by the priority of the workspace, or of the route if the workspace has none, then by that of the route.
     */
    fun rankOf(
        route: Route,
        workspace: Workspace?,
    ): Int = priorities.indexOf(priorityOf(route, workspace)).coerceAtLeast(0)

    private fun prioritiesOf(routes: List<Route>): List<Priority> {
        val routePriorities = routes.mapTo(HashSet()) { it.priority }
        val workspacePriorities = workspaces?.values.orEmpty().mapTo(HashSet()) { it.priority } + null
        return routePriorities
            .flatMap { route -> workspacePriorities.map { Priority(it ?: route, route) } }
            .distinct()
            .sortedWith(compareBy({ it.effective }, { it.ofRoute }))
    }

    private fun priorityOf(
        route: Route,
        workspace: Workspace?,
    ) = Priority(workspace?.priority ?: route.priority, route.priority)

    private data class Priority(
        val effective: Int,
        val ofRoute: Int,
    )

    /** Returns the pools to which requests are sent after their stages in [stagePool]. */
    fun callPoolsAfter(stagePool: PoolId): Set<PoolId> = callPoolsByStagePool[stagePool].orEmpty()

    /** Returns the pool [id], or null if this revision does not contain it. */
    fun poolOf(id: PoolId): Pool? = poolsById[id]
}
