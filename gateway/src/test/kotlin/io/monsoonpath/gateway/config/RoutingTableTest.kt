package io.monsoonpath.gateway.config

import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.WorkspaceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RoutingTableTest {
    private fun route(
        name: String,
        host: String,
        prefix: String,
        vararg pools: Pair<String, Int>,
    ) = Route(
        name = name,
        host = host,
        pathPrefix = prefix,
        kind = RouteKind.Idempotent,
        timeoutMs = 1_000,
        targetLatencyMs = 300,
        maxAttempts = 2,
        priority = 0,
        pools = pools.map { (pool, weight) -> WeightedPool(PoolId(pool), weight) },
        allowsAnonymous = false,
        callerFirstByteTimeoutMs = 2_000,
        stages = emptyList(),
    )

    private fun table(
        revision: Long,
        vararg routes: Route,
    ) = RoutingTable(ConfigRevision(revision), routes.toList(), emptyList(), null, CallerLimits(1, 1, 1, 1))

    @TestFactory
    fun `requests are ranked by the priority of the workspace, then of the route`() =
        listOf(
            Triple(0, null, 0),
            Triple(0, 0, 0),
            Triple(2, 0, 2),
            Triple(0, 1, 3),
            Triple(1, 1, 4),
            Triple(2, 1, 5),
            Triple(2, null, 6),
        ).map { (routePriority, workspacePriority, expected) ->
            DynamicTest.dynamicTest("route $routePriority, workspace $workspacePriority") {
                val routes = listOf(0, 1, 2).map { route("r$it", "x", "/$it/").copy(priority = it) }
                val workspaces = listOf(null, 0, 1).associate { "k$it" to Workspace(WorkspaceId("w$it"), it) }
                val table = RoutingTable(ConfigRevision(1), routes, emptyList(), workspaces, CallerLimits(1, 1, 1, 1))
                val rank = table.rankOf(routes[routePriority], workspaces.getValue("k$workspacePriority"))
                assertEquals(expected, rank)
            }
        }

    private val table = table(1, route("a", "x", "/a/"), route("ab", "x", "/a/b/"), route("other", "y", "/a/"))

    @TestFactory
    fun `the route with the longest matching prefix on the host is selected`() =
        listOf(
            Triple("x", "/a/1", "a"),
            Triple("x", "/a/b/1", "ab"),
            Triple("x", "/a/b", "a"),
            Triple("x", "/b/1", null),
            Triple("x", "/a", null),
            Triple("y", "/a/b/1", "other"),
            Triple("z", "/a/1", null),
        ).map { (host, path, expected) ->
            DynamicTest.dynamicTest("$host$path") { assertEquals(expected, table.routeOf(host, path)?.name) }
        }

    @Test
    fun `requests are split by the weights of the pools, and a request always has the same pool`() {
        val route = route("split", "x", "/", "p" to 90, "q" to 10)
        val pools = (0 until 1_000).map { route.poolOf(it) }
        assertEquals(900, pools.count { it == PoolId("p") })
        assertEquals(pools, (0 until 1_000).map { route.poolOf(it) })
        assertEquals(PoolId("q"), route.poolOf(-1))
    }

    @Test
    fun `the current revision never decreases`() {
        val holder = ConfigurationHolder(DecisionLog(ByteArrayOutputStream()))
        assertTrue(holder.applyIfNewer(table(5), "test"))
        assertFalse(holder.applyIfNewer(table(4), "test"))
        assertFalse(holder.applyIfNewer(table(5), "test"))
        assertEquals(5, holder.current?.revision?.value)
        assertTrue(holder.applyIfNewer(table(9), "test"))
    }
}
