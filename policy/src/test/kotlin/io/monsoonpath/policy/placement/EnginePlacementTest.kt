package io.monsoonpath.policy.placement

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.ModelId
import io.monsoonpath.model.ModelSpec
import io.monsoonpath.model.WeightStoreSpec
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class EnginePlacementTest {
    private class Case(
        val name: String,
        val engines: List<EngineState>,
        val targets: Map<ModelId, Int>,
        val models: List<ModelSpec> = listOf(ModelSpec(A), ModelSpec(B)),
        vararg val orders: String,
    )

    private val cases =
        listOf(
            Case(
                "an empty engine takes the missing model",
                listOf(engine(1, A), engine(2, null)),
                mapOf(A to 1, B to 1),
                orders = arrayOf("load 2 b1"),
            ),
            Case("nothing to do", listOf(engine(1, A), engine(2, B)), mapOf(A to 1, B to 1)),
            Case("the last warm copy stays", listOf(engine(1, A)), mapOf(A to 1, B to 1)),
            Case(
                "a cold second copy does not count",
                listOf(engine(1, A), engine(2, A, warm = false)),
                mapOf(A to 1, B to 2),
                orders = arrayOf("load 2 b1"),
            ),
            Case(
                "streams move before a reload",
                listOf(engine(1, A, streams = 3), engine(2, A, streams = 2)),
                mapOf(A to 1, B to 1),
                orders = arrayOf("move 2"),
            ),
            Case("a model in no demand gives way", listOf(engine(1, A)), mapOf(B to 1), orders = arrayOf("load 1 b1")),
            Case("an unusable engine is left alone", listOf(engine(1, null, usable = false)), mapOf(A to 1)),
            Case(
                "another failure domain goes first",
                listOf(engine(1, A), engine(3, null), engine(4, null)),
                mapOf(A to 2),
                orders = arrayOf("load 3 a1"),
            ),
            Case(
                "one engine of a new version at a time",
                List(3) { engine(it, A) },
                mapOf(A to 3),
                listOf(ModelSpec(A, version = 2)),
                "load 0 a2",
            ),
            Case(
                "no other while one loads the version",
                listOf(engine(1, A), engine(2, A), loading(3, A)),
                mapOf(A to 3),
                listOf(ModelSpec(A, version = 2)),
            ),
            Case(
                "a single copy gets a second one first",
                listOf(engine(1, A), engine(2, null)),
                mapOf(A to 1),
                listOf(ModelSpec(A, version = 2)),
                "load 2 a2",
            ),
            Case("a missing adapter", listOf(engine(1, A)), mapOf(A to 1), listOf(ModelSpec(A, adapters = listOf("x"))), "adapter 1 x"),
        )

    @TestFactory
    fun `orders what is safe now`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val orders = EnginePlacement(LoadBudget(WeightStoreSpec())).planOrders(case.engines, case.models, case.targets, nowMs = 0)
                assertEquals(case.orders.toList(), orders.map { it.text() })
            }
        }

    @Test
    fun `a version is rolled with a warm copy at every step`() {
        val placement = EnginePlacement(LoadBudget(WeightStoreSpec(loadsPerMin = 100)))
        var engines = List(4) { engine(it, A, streams = 1) }
        var rounds = 0
        while (engines.any { it.loaded?.version != 2 }) {
            check(rounds++ < 50) { "not rolled: $engines" }
            engines = engines.map { if (it.loading == null) it else it.copy(loaded = it.loading, loading = null) }
            val orders = placement.planOrders(engines, listOf(ModelSpec(A, version = 2)), mapOf(A to 4), nowMs = rounds * 1_000L)
            engines = engines.map { engine -> orders.filter { it.engine == engine.id }.fold(engine) { e, order -> e.after(order) } }
            assertTrue(engines.count { it.loaded?.model == A && it.loading == null } >= 3, "round $rounds: $engines")
        }
    }

    @ParameterizedTest
    @CsvSource("2, 6, 1, 1", "1, 6, 0, 1", "1, 6, 1, 0", "5, 3, 0, 3")
    fun `loads keep the pace of the weight store`(
        concurrent: Int,
        perMin: Int,
        running: Int,
        started: Int,
    ) {
        val budget = LoadBudget(WeightStoreSpec(perMin, concurrent))
        var now = running
        var count = 0
        repeat(10) {
            if (budget.tryStart(now, nowMs = 0)) {
                now++
                count++
            }
        }
        assertEquals(started, count)
    }

    @ParameterizedTest
    @CsvSource("24.0, 10, 2", "24.0, 11, 4", "12.0, 600, 2", "6.0, 600, 2", "3.0, 120, 2", "3.0, 121, 1", "0.0, 600, 1")
    fun `targets follow demand only when it lasts`(
        demand: Double,
        seconds: Int,
        expected: Int,
    ) {
        val targets = ReplicaTargets()
        var target = targets.update(mapOf(A to 12.0), engineCapacity = 8, nowMs = 0).getValue(A)
        for (s in 1..seconds) target = targets.update(mapOf(A to demand), engineCapacity = 8, nowMs = s * 1_000L).getValue(A)
        assertEquals(expected, target)
    }

    private class RoleCase(
        val name: String,
        val roles: List<EngineRole>,
        val prefillShare: Double,
        val order: String?,
        val cacheTransfer: Boolean = true,
    )

    @TestFactory
    fun `roles follow the demand one engine at a time`() =
        listOf(
            RoleCase("split", List(6) { EngineRole.MIXED }, 0.5, "role 0 PREFILL"),
            RoleCase("two of each role remain", List(2) { EngineRole.PREFILL } + List(4) { EngineRole.DECODE }, 0.01, null),
            RoleCase("less than one engine apart", List(3) { EngineRole.PREFILL } + List(5) { EngineRole.DECODE }, 0.45, null),
            RoleCase("more decoding", List(4) { EngineRole.PREFILL } + List(4) { EngineRole.DECODE }, 0.25, "role 0 DECODE"),
            RoleCase("too few engines", List(2) { EngineRole.PREFILL }, 0.5, "role 0 MIXED"),
            RoleCase("no transfer", List(6) { EngineRole.MIXED }, 0.5, null, cacheTransfer = false),
        ).map { case ->
            dynamicTest(case.name) {
                val engines = case.roles.mapIndexed { i, role -> engine(i, A).copy(role = role) }
                assertEquals(case.order, planRoles(engines, RoleDemand(case.prefillShare, case.cacheTransfer)).singleOrNull()?.text())
            }
        }

    private fun EngineState.after(order: EngineOrder): EngineState =
        when (order) {
            is EngineOrder.Load -> copy(loading = order.target)
            is EngineOrder.MoveStreams -> copy(streams = 0)
            is EngineOrder.LoadAdapter, is EngineOrder.ChangeRole -> this
        }

    private fun EngineOrder.text(): String =
        when (this) {
            is EngineOrder.Load -> "load $engine ${target.model}${target.version}"
            is EngineOrder.LoadAdapter -> "adapter $engine $adapter"
            is EngineOrder.MoveStreams -> "move $engine"
            is EngineOrder.ChangeRole -> "role $engine $role"
        }

    private companion object {
        val A = ModelId("a")
        val B = ModelId("b")

        fun engine(
            number: Int,
            model: ModelId?,
            warm: Boolean = true,
            usable: Boolean = true,
            streams: Int = 0,
        ) = EngineState(
            id = BackendId("$number"),
            domain = FailureDomain("fd${number % 3}"),
            loaded = model?.let { LoadedModel(it, version = 1) },
            warm = warm,
            usable = usable,
            streams = streams,
        )

        fun loading(
            number: Int,
            model: ModelId,
        ) = engine(number, null).copy(loading = LoadedModel(model, version = 2))
    }
}
