package io.monsoonpath.app.load

import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord

/**
 * Represents the work that one stage performed for a load.
 *
 * @property attempts the number of attempts, including retries
 * @property workMs the total duration of the attempts, in milliseconds
 */
internal data class StageCost(
    val stage: String,
    val attempts: Int,
    val workMs: Long,
)

/** Returns the work per stage for all requests whose id starts with [requestIdPrefix] and a hyphen. */
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
