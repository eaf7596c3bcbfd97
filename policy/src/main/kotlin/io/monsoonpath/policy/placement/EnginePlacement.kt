package io.monsoonpath.policy.placement

import io.monsoonpath.model.ModelId
import io.monsoonpath.model.ModelSpec

/**
 * Plans the orders that bring the engines of a pool to the wanted models, versions and adapters.
 *
 * Each call returns only orders that are safe to execute immediately; the next call is made with their effect. An engine whose model is
 * still wanted is reloaded only while another engine holds a warm, usable copy, and only after its streams have been moved. A new
 * version is rolled out to one engine at a time.
 */
class EnginePlacement(
    private val budget: LoadBudget,
) {
    /**
     * Returns the orders to execute now.
     *
     * @param targets the wanted number of engines of each model
     */
    fun planOrders(
        engines: List<EngineState>,
        models: List<ModelSpec>,
        targets: Map<ModelId, Int>,
        nowMs: Long,
    ): List<EngineOrder> {
        val plan = Plan(engines, models.associateBy { it.id }, targets)
        val loads = plan.loads().takeWhileAllowed(engines.count { it.loading != null }, nowMs)
        return loads + plan.adapters()
    }

    private fun List<EngineOrder>.takeWhileAllowed(
        running: Int,
        nowMs: Long,
    ): List<EngineOrder> {
        var started = running
        return takeWhile { it !is EngineOrder.Load || budget.tryStart(started++, nowMs) }
    }
}

/** The state of one call of [EnginePlacement.planOrders]. */
private class Plan(
    private val engines: List<EngineState>,
    private val models: Map<ModelId, ModelSpec>,
    private val targets: Map<ModelId, Int>,
) {
    private val busy = engines.filter { it.loading != null || !it.usable }.mapTo(HashSet()) { it.id }
    private val knownModels = targets.keys + engines.mapNotNull { it.loaded?.model }
    private val copies = knownModels.associateWithTo(HashMap()) { model -> engines.count { it.usable && it.runs(model) } }

    fun loads(): List<EngineOrder> = newCopies() + newVersions()

    fun adapters(): List<EngineOrder> =
        engines.filter { it.id !in busy }.flatMap { engine ->
            val loaded = engine.loaded
            val wanted = loaded?.let { models[it.model] }?.adapters.orEmpty()
            wanted.filter { it !in loaded?.adapters.orEmpty() }.map { EngineOrder.LoadAdapter(engine.id, it) }
        }

    /** Assigns one more engine to each model below its target: models without any copy first, then by the number of missing engines. */
    private fun newCopies(): List<EngineOrder> =
        targets.keys
            .filter { it in models && missing(it) > 0 }
            .sortedWith(compareBy({ copies.getValue(it) > 0 }, { -missing(it) }, { it }))
            .flatMap { model -> selectEngineFor(model)?.let { place(it, models.getValue(model)) }.orEmpty() }

    /** Loads the new version on one engine of each outdated model, unless another engine is already loading that model. */
    private fun newVersions(): List<EngineOrder> =
        models.values.flatMap { spec ->
            val updating = engines.any { it.loading?.model == spec.id }
            val old = engines.filter { it.id !in busy && it.loaded?.model == spec.id && it.loaded.version < spec.version }
            if (updating) emptyList() else old.firstOrNull { hasOtherWarmCopy(it) }?.let { place(it, spec) }.orEmpty()
        }

    private fun missing(model: ModelId) = wanted(model) - copies.getValue(model)

    /** Returns the target of [model], or 2 while its only copy is outdated: the copy can be replaced only once a second one exists. */
    private fun wanted(model: ModelId): Int {
        val target = targets[model] ?: 0
        val version = models[model]?.version ?: return target
        val onlyOld = target == 1 && engines.any { it.usable && it.loaded?.model == model && it.loaded.version < version }
        return if (onlyOld) target + 1 else target
    }

    /** Prefers empty engines, then failure domains that do not run [model] yet, then engines with few streams. */
    private fun selectEngineFor(model: ModelId): EngineState? {
        val used = engines.filter { it.usable && it.runs(model) }.mapTo(HashSet()) { it.domain }
        return engines
            .filter { it.id !in busy && !it.runs(model) && isSpare(it) }
            .minWithOrNull(compareBy({ it.loaded != null }, { it.domain in used }, { it.streams }, { it.id }))
    }

    private fun isSpare(engine: EngineState): Boolean {
        val model = engine.loaded?.model ?: return true
        val wanted = wanted(model)
        return copies.getOrDefault(model, 0) > wanted && (wanted == 0 || hasOtherWarmCopy(engine))
    }

    private fun hasOtherWarmCopy(engine: EngineState): Boolean =
        engines.any { it.id != engine.id && it.id !in busy && it.usable && it.warm && it.loaded?.model == engine.loaded?.model }

    private fun place(
        engine: EngineState,
        spec: ModelSpec,
    ): List<EngineOrder> {
        busy += engine.id
        engine.loaded?.let { copies.computeIfPresent(it.model) { _, n -> n - 1 } }
        copies.computeIfPresent(spec.id) { _, n -> n + 1 }
        if (engine.streams > 0) return listOf(EngineOrder.MoveStreams(engine.id))
        return listOf(EngineOrder.Load(engine.id, LoadedModel(spec.id, spec.version, spec.adapters.toSet())))
    }

    private fun EngineState.runs(model: ModelId) = loaded?.model == model || loading?.model == model
}
