package io.monsoonpath.policy.placement

/**
 * What a model's engines have to do.
 *
 * @property prefillShare the part of their time that goes into prompts, from 0 to 1
 * @property cacheTransfer whether they can export and import their cache
 */
data class RoleDemand(
    val prefillShare: Double,
    val cacheTransfer: Boolean,
)

/**
 * Returns the orders that move the roles of one model's [engines] towards [demand], at most one at a time.
 *
 * Engines are split by role only where their cache can be transferred and there are enough to keep two of each role; a difference of less
 * than one engine changes nothing, so that roles do not swing.
 */
fun roleOrders(
    engines: List<EngineState>,
    demand: RoleDemand,
): List<EngineOrder> {
    val usable = engines.filter { it.usable && it.warm && it.loaded != null && it.loading == null }
    if (!demand.cacheTransfer || usable.size < MIN_SPLIT_ENGINES) return mergeOrders(usable)
    val wanted = (usable.size * demand.prefillShare).coerceIn(MIN_PER_ROLE.toDouble(), (usable.size - MIN_PER_ROLE).toDouble())
    val prefill = usable.count { it.role == EngineRole.PREFILL }
    val from = usable.filter { it.streams == 0 || it.role == EngineRole.MIXED }
    return when {
        wanted - prefill >= 1 -> change(from, EngineRole.PREFILL)
        prefill - wanted >= 1 -> change(from.filter { it.role == EngineRole.PREFILL }, EngineRole.DECODE)
        else -> change(from.filter { it.role == EngineRole.MIXED }, EngineRole.DECODE)
    }
}

private fun mergeOrders(engines: List<EngineState>) = change(engines.filter { it.role != EngineRole.MIXED }, EngineRole.MIXED)

private fun change(
    engines: List<EngineState>,
    role: EngineRole,
): List<EngineOrder> =
    engines
        .filter { it.role != role }
        .minWithOrNull(compareBy({ it.streams }, { it.id }))
        ?.let { listOf(EngineOrder.ChangeRole(it.id, role)) }
        .orEmpty()

private const val MIN_SPLIT_ENGINES = 4
private const val MIN_PER_ROLE = 2
