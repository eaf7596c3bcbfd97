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
                "loads a missing model on an empty engine",
                listOf(engine(1, A), engine(2, null)),
                mapOf(A to 1, B to 1),
                orders = arrayOf("load 2 b1"),
            ),
            Case("returns no orders when all targets are met", listOf(engine(1, A), engine(2, B)), mapOf(A to 1, B to 1)),
            Case("keeps the last warm copy of a model", listOf(engine(1, A)), mapOf(A to 1, B to 1)),
            Case(
                "does not count a cold copy as a replacement",
                listOf(engine(1, A), engine(2, A, warm = false)),
                mapOf(A to 1, B to 2),
                orders = arrayOf("load 2 b1"),
            ),
            Case(
                "moves streams before a reload",
                listOf(engine(1, A, streams = 3), engine(2, A, streams = 2)),
                mapOf(A to 1, B to 1),
                orders = arrayOf("move 2"),
            ),
            Case("replaces a model without demand", listOf(engine(1, A)), mapOf(B to 1), orders = arrayOf("load 1 b1")),
            Case("ignores an unusable engine", listOf(engine(1, null, usable = false)), mapOf(A to 1)),
            Case(
                "prefers a failure domain without the model",
                listOf(engine(1, A), engine(3, null), engine(4, null)),
                mapOf(A to 2),
                orders = arrayOf("load 3 a1"),
            ),
            Case(
                "updates one engine at a time to a new version",
                List(3) { engine(it, A) },
                mapOf(A to 3),
                listOf(ModelSpec(A, version = 2)),
                "load 0 a2",
            ),
            Case(
                "updates no engine while another one loads the version",
                listOf(engine(1, A), engine(2, A), loading(3, A)),
                mapOf(A to 3),
                listOf(ModelSpec(A, version = 2)),
            ),
            Case(
                "adds a second copy before it updates the only one",
                listOf(engine(1, A), engine(2, null)),
                mapOf(A to 1),
                listOf(ModelSpec(A, version = 2)),
                "load 2 a2",
            ),
            Case(
                "loads a missing adapter",
                listOf(engine(1, A)),
                mapOf(A to 1),
                listOf(ModelSpec(A, adapters = listOf("x"))),
                "adapter 1 x",
            ),
        )

    @TestFactory
    fun `returns only orders that are safe now`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val orders = EnginePlacement(LoadBudget(WeightStoreSpec())).planOrders(case.engines, case.models, case.targets, nowMs = 0)
                assertEquals(case.orders.toList(), orders.map { it.text() })
            }
        }

    @Test
    fun `a rolling update keeps at least three of four engines loaded`() {
        val placement = EnginePlacement(LoadBudget(WeightStoreSpec(loadsPerMin = 100)))
        var engines = List(4) { engine(it, A, streams = 1) }
        var rounds = 0
        while (engines.any { it.loaded?.version != 2 }) {
            check(rounds++ < 50) { "version 2 is not loaded on all engines: $engines" }
            engines = engines.map { if (it.loading == null) it else it.copy(loaded = it.loading, loading = null) }
            val orders = placement.planOrders(engines, listOf(ModelSpec(A, version = 2)), mapOf(A to 4), nowMs = rounds * 1_000L)
            engines = engines.map { engine -> orders.filter { it.engine == engine.id }.fold(engine) { e, order -> e.after(order) } }
            assertTrue(engines.count { it.loaded?.model == A && it.loading == null } >= 3, "round $rounds: $engines")
        }
    }

    @ParameterizedTest
    @CsvSource("2, 6, 1, 1", "1, 6, 0, 1", "1, 6, 1, 0", "5, 3, 0, 3")
    fun `loads stay within the rate and concurrency limits of the weight store`(
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
    fun `targets change only when a change of demand persists`(
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
    fun `roles are adapted to the demand one engine at a time`() =
        listOf(
            RoleCase("splits mixed engines", List(6) { EngineRole.MIXED }, 0.5, "role 0 PREFILL"),
            RoleCase("keeps two engines of each role", List(2) { EngineRole.PREFILL } + List(4) { EngineRole.DECODE }, 0.01, null),
            RoleCase(
                "ignores a difference of less than one engine",
                List(3) { EngineRole.PREFILL } + List(5) { EngineRole.DECODE },
                0.45,
                null,
            ),
            RoleCase("adds a decode engine", List(4) { EngineRole.PREFILL } + List(4) { EngineRole.DECODE }, 0.25, "role 0 DECODE"),
            RoleCase("merges roles when there are too few engines", List(2) { EngineRole.PREFILL }, 0.5, "role 0 MIXED"),
            RoleCase("does not split engines without cache transfer", List(6) { EngineRole.MIXED }, 0.5, null, cacheTransfer = false),
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
