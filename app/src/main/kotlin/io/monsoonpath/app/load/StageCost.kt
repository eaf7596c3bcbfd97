package io.monsoonpath.app.load

import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord

/**
 * The work that one stage did for a load.
 *
 * @property attempts all attempts, retries included
 * @property workMs the time that the attempts took together
 */
internal data class StageCost(
    val stage: String,
    val attempts: Int,
    val workMs: Long,
)

/** Returns the work by stage of all requests whose id starts with [prefix]. */
internal fun stageCosts(
    records: List<EventRecord>,
    prefix: String,
): List<StageCost> =
    records
        .mapNotNull { it.event as? Event.AttemptEnded }
        .filter { it.request.value.startsWith("$prefix-") }
        .groupBy { it.stage.value }
        .toSortedMap()
        .map { (stage, ends) -> StageCost(stage, ends.size, ends.sumOf { it.tookMs }) }
