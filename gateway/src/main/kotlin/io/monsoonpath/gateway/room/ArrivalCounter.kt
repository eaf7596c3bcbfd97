package io.monsoonpath.gateway.room

/** Counts the arrivals of the last second, to a quarter of a second. */
internal class ArrivalCounter {
    private val counts = IntArray(SLOTS)
    private var newestSlot = 0L

    /** Records an arrival at [nowMs]. */
    fun record(nowMs: Long) {
        moveTo(nowMs)
        counts[Math.floorMod(newestSlot, SLOTS)]++
    }

    /** Returns the number of arrivals in the second before [nowMs]. */
    fun lastSecond(nowMs: Long): Int {
        moveTo(nowMs)
        return counts.sum()
    }

    private fun moveTo(nowMs: Long) {
        val slot = nowMs / SLOT_MS
        if (slot - newestSlot >= SLOTS) counts.fill(0) else for (i in newestSlot + 1..slot) counts[Math.floorMod(i, SLOTS)] = 0
        newestSlot = maxOf(slot, newestSlot)
    }

    private companion object {
        const val SLOTS = 4
        const val SLOT_MS = 250L
    }
}
