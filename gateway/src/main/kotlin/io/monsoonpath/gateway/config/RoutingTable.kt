package io.monsoonpath.gateway.config

import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.PoolId

/** What callers may send, and how long they may take. */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

/**
 * One version of the configuration; immutable.
 *
 * @property workspaces the workspace of each key, or null if the configuration knows no workspaces and asks for no keys
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

    /** The priorities of workspaces that may use a route, with that of the route, the most urgent first. */
    private val priorities: List<Priority> = prioritiesOf(routes)

    /** The pools of this version. */
    val pools: Collection<Pool> get() = poolsById.values

    /** Returns the route with the longest prefix of [path] on [host], or null. */
    fun routeOf(
        host: String,
        path: String,
    ): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /**
     * Returns the rank of requests of [workspace] on [route] among all that this version allows, from 0, which is the most urgent.
     *
     * The workspace's priority decides; among equals the route's does.
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

    /** Returns the pool called [id], or null. */
    fun poolOf(id: PoolId): Pool? = poolsById[id]
}
