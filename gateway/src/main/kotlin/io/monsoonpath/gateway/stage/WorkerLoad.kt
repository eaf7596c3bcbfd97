package io.monsoonpath.gateway.stage

/** What the batching instance knows of one worker: its calls, its speed, and the results that it holds. */
internal class WorkerLoad {
    private class Held(
        val bytes: Long,
        val untilMs: Long,
    )

    private var calls = 0
    private var pausedUntilMs = 0L
    private val held = LinkedHashMap<String, Held>()

    /** The time of its calls against what was expected, smoothed. */
    var slowness = 1.0
        private set

    /** The part of its announced room that is used: sizes are announced approximately, and refusals tell how far off they are. */
    var roomShare = 1.0
        private set

    fun isFree(
        nowMs: Long,
        slots: Int,
    ): Boolean = calls < slots && nowMs >= pausedUntilMs

    /** The memory of its results that are not yet released, in bytes. */
    fun heldBytes(nowMs: Long): Long {
        held.values.removeIf { it.untilMs <= nowMs }
        return held.values.sumOf { it.bytes }
    }

    fun recordStart() {
        calls++
    }

    fun recordEnd() {
        calls--
    }

    fun recordSlowness(ratio: Double) {
        slowness += SMOOTHING * (ratio - slowness)
    }

    /** Notes whether the results of a call fitted into the room that was counted on. */
    fun recordFit(fitted: Boolean) {
        roomShare = if (fitted) minOf(1.0, roomShare + ROOM_STEP_UP) else maxOf(MIN_ROOM_SHARE, roomShare - ROOM_STEP_DOWN)
    }

    fun pauseUntil(untilMs: Long) {
        pausedUntilMs = untilMs
    }

    fun addHeld(
        handle: String,
        bytes: Long,
        untilMs: Long,
    ) {
        held[handle] = Held(bytes, untilMs)
    }

    fun removeHeld(handle: String) {
        held.remove(handle)
    }

    private companion object {
        /** The weight of the newest call: three calls tell a worker that has become slow. */
        const val SMOOTHING = 0.4

        /** One refusal is not repeated for ten calls, about four seconds. */
        const val ROOM_STEP_DOWN = 0.05
        const val ROOM_STEP_UP = 0.005
        const val MIN_ROOM_SHARE = 0.5
    }
}
