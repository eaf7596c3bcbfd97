package io.monsoonpath.policy.placement

/**
 * The demand that determines how the engines of a model are split by role.
 *
 * @property prefillShare the fraction of engine time spent on prefill, from 0 to 1
 * @property cacheTransfer whether the engines can export and import their key-value cache
 */
data class RoleDemand(
    val prefillShare: Double,
    val cacheTransfer: Boolean,
)

/**
 * Returns the order that adapts the roles of one model's [engines] to [demand], or an empty list. Only one engine changes at a time.
 *
 * Engines are split by role only if their cache can be transferred and there are enough of them for [MIN_PER_ROLE] of each role. A
 * difference of less than one engine is ignored, so that roles do not oscillate.
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
