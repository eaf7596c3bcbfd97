package io.monsoonpath.policy.placement

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.ModelId

/** What an engine runs: one version of a model, with adapters loaded beside it. */
data class LoadedModel(
    val model: ModelId,
    val version: Int,
    val adapters: Set<String> = emptySet(),
)

/** The part of a generation that an engine computes. */
enum class EngineRole {
    /** Prompt and tokens. */
    MIXED,

    /** Prompts only; the cache is exported. */
    PREFILL,

    /** Tokens only; the cache is imported. */
    DECODE,
}

/**
 * An engine as the controller of orders sees it.
 *
 * @property loaded what it runs, or null while it is empty or loading
 * @property loading what it is loading, or null
 * @property warm whether it bears its full load
 * @property usable whether it may receive new work: neither leaving nor in a failure domain that is out
 * @property streams the streams running on it
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

/** An order to an engine; the sender adds the fencing number. Giving it twice has the effect of giving it once. */
sealed interface EngineOrder {
    /** The engine that it goes to. */
    val engine: BackendId

    /** Load [target] in place of what is there. */
    data class Load(
        override val engine: BackendId,
        val target: LoadedModel,
    ) : EngineOrder

    /** Load [adapter] beside the model. */
    data class LoadAdapter(
        override val engine: BackendId,
        val adapter: String,
    ) : EngineOrder

    /** Move the running streams to other engines by export and import and take no new ones, so that the engine can be reloaded. */
    data class MoveStreams(
        override val engine: BackendId,
    ) : EngineOrder

    /** Take over [role]. */
    data class ChangeRole(
        override val engine: BackendId,
        val role: EngineRole,
    ) : EngineOrder
}
