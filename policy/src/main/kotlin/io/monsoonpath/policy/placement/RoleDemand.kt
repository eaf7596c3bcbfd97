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
fun planRoles(
    engines: List<EngineState>,
    demand: RoleDemand,
): List<EngineOrder> {
    val usable = engines.filter { it.usable && it.warm && it.loaded != null && it.loading == null }
    if (!demand.cacheTransfer || usable.size < MIN_SPLIT_ENGINES) return planMixedRoles(usable)
    val targetPrefill = (usable.size * demand.prefillShare).coerceIn(MIN_PER_ROLE.toDouble(), (usable.size - MIN_PER_ROLE).toDouble())
    val prefillCount = usable.count { it.role == EngineRole.PREFILL }
    val movable = usable.filter { it.streams == 0 || it.role == EngineRole.MIXED }
    return when {
        targetPrefill - prefillCount >= 1 -> changeOneRole(movable, EngineRole.PREFILL)
        prefillCount - targetPrefill >= 1 -> changeOneRole(movable.filter { it.role == EngineRole.PREFILL }, EngineRole.DECODE)
        else -> changeOneRole(movable.filter { it.role == EngineRole.MIXED }, EngineRole.DECODE)
    }
}

private fun planMixedRoles(engines: List<EngineState>) = changeOneRole(engines.filter { it.role != EngineRole.MIXED }, EngineRole.MIXED)

private fun changeOneRole(
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
