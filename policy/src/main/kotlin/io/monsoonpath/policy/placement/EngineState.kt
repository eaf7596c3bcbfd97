package io.monsoonpath.policy.placement

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.ModelId

/** One version of a model as loaded on an engine, with its adapters. */
data class LoadedModel(
    val model: ModelId,
    val version: Int,
    val adapters: Set<String> = emptySet(),
)

/** The phases of a generation that an engine computes. */
enum class EngineRole {
    /** Prefill and decode. */
    MIXED,

    /** Prefill only; the key-value cache is exported. */
    PREFILL,

    /** Decode only; the key-value cache is imported. */
    DECODE,
}

/**
 * The observed state of an engine.
 *
 * @property loaded the loaded model, or null while the engine is empty or loading
 * @property loading the model that is being loaded, or null
 * @property warm whether the engine can take its full load
 * @property usable whether the engine may receive new work: it is not leaving, and its failure domain is in service
 * @property streams the number of running streams
 */
data class EngineState(
    val id: BackendId,
    val domain: FailureDomain,
    val loaded: LoadedModel?,
    val loading: LoadedModel? = null,
    val role: EngineRole = EngineRole.MIXED,
    val warm: Boolean = true,
    val usable: Boolean = true,
    val streams: Int = 0,
)

/** An idempotent order to an engine. The sender adds the fencing token. */
sealed interface EngineOrder {
    /** The engine that executes the order. */
    val engine: BackendId

    /** Loads [target] in place of the current model. */
    data class Load(
        override val engine: BackendId,
        val target: LoadedModel,
    ) : EngineOrder

    /** Loads [adapter] in addition to the current model. */
    data class LoadAdapter(
        override val engine: BackendId,
        val adapter: String,
    ) : EngineOrder

    /** Moves the running streams to other engines by cache export and import and accepts no new ones; the engine can then be reloaded. */
    data class MoveStreams(
        override val engine: BackendId,
    ) : EngineOrder

    /** Changes the role of the engine to [role]. */
    data class ChangeRole(
        override val engine: BackendId,
        val role: EngineRole,
    ) : EngineOrder
}
