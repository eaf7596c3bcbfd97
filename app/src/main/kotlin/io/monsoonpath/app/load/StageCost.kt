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

/** Returns the work by stage of all requests whose id starts with [requestIdPrefix]. */
internal fun stageCosts(
    records: List<EventRecord>,
    requestIdPrefix: String,
): List<StageCost> =
    records
        .mapNotNull { it.event as? Event.AttemptEnded }
        .filter { it.request.value.startsWith("$requestIdPrefix-") }
        .groupBy { it.stage.value }
        .toSortedMap()
        .map { (stage, endedAttempts) -> StageCost(stage, endedAttempts.size, endedAttempts.sumOf { it.tookMs }) }
