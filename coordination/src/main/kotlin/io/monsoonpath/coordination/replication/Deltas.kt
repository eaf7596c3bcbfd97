package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.DocumentChange
import io.monsoonpath.coordination.message.PartBytes

/** Returns the change that turns the parts named by [base] into [parts]. */
internal fun changeOf(
    kind: DocumentKind,
    revision: Long,
    baseRevision: Long,
    base: List<PartHash>,
    parts: List<Part>,
): DocumentChange {
    val places = HashMap<PartHash, Int>(base.size * 2)
    base.forEachIndexed { i, hash -> places.putIfAbsent(hash, i) }
    val recipe = ArrayList<Int>()
    val inserted = ArrayList<Part>()
    var i = 0
    while (i < parts.size) {
        val from = places[parts[i].hash] ?: NEW_PARTS
        val count = if (from == NEW_PARTS) newRun(parts, i, places) else commonRun(base, from, parts, i)
        if (from == NEW_PARTS) inserted += parts.subList(i, i + count)
        recipe += from
        recipe += count
        i += count
    }
    val isInline = inserted.sumOf { it.bytes.size } <= MAX_INLINE_BYTES
    return DocumentChange(
        kind = kind.ordinal,
        revision = revision,
        base = baseRevision,
        recipe = recipe,
        hashes = packed(inserted.map { it.hash }),
        parts = if (isInline) inserted.map { PartBytes(it.bytes) } else emptyList(),
    )
}

/** Returns the hashes of the whole document that [change] makes from [base], or null if the change does not fit it. */
internal fun applyRecipe(
    change: DocumentChange,
    base: List<PartHash>,
): List<PartHash>? {
    val inserted = unpackedOrNull(change.hashes) ?: return null
    if (change.recipe.size % 2 != 0) return null
    val result = ArrayList<PartHash>()
    var next = 0
    for (i in change.recipe.indices step 2) {
        val from = change.recipe[i]
        val count = change.recipe[i + 1]
        val source = if (from == NEW_PARTS) inserted else base
        val start = if (from == NEW_PARTS) next else from
        val isInRange = start in 0..source.size && count in 1..(source.size - start)
        if (!isInRange || result.size + count > MAX_PARTS) return null
        result += source.subList(start, start + count)
        if (from == NEW_PARTS) next += count
    }
    return result.takeIf { next == inserted.size }
}

private fun newRun(
    parts: List<Part>,
    start: Int,
    places: Map<PartHash, Int>,
): Int = (start until parts.size).firstOrNull { parts[it].hash in places }?.let { it - start } ?: (parts.size - start)

private fun commonRun(
    base: List<PartHash>,
    from: Int,
    parts: List<Part>,
    start: Int,
): Int {
    var count = 0
    while (from + count < base.size && start + count < parts.size && base[from + count] == parts[start + count].hash) count++
    return count
}

private const val NEW_PARTS = -1
private const val MAX_INLINE_BYTES = 131_072
private const val MAX_PARTS = 262_144
