package io.monsoonpath.soak

import io.monsoonpath.platform.WorkerAction
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** The kinds of responses of which a worker may write a copy. */
enum class ResponseKind {
    SUCCESS,
    ERROR,
    REFUSAL,
}

/** When a copy of an earlier response is written. */
enum class CopyMoment {
    /** After the response, while the connection is idle unless the next request arrives early. */
    AFTER_RESPONSE,

    /** In front of the next response on the same connection. */
    BEFORE_RESPONSE,
}

/** A kind of late copies, by which [LateCopies] counts them. */
data class CopyKind(
    val response: ResponseKind,
    val moment: CopyMoment,
    val isCut: Boolean,
)

/**
 * Lets a worker write copies of earlier responses of a connection late, in whole or cut at any byte, as a server that stutters does.
 *
 * @param counts the number of copies of each kind that all workers have written
 */
class LateCopies(
    private val counts: MutableMap<CopyKind, Int>,
) {
    /** The last response of each kind, by connection. */
    private val earlierResponses = ConcurrentHashMap<Int, MutableMap<ResponseKind, String>>()

    /** Records [response], which is written whole on [connection]. */
    fun record(
        connection: Int,
        kind: ResponseKind,
        response: String,
    ) {
        earlierResponses.getOrPut(connection) { sortedMapOf() }[kind] = response
    }

    /** Returns an action that writes [response], and a copy of an earlier response of [connection] at [moment] if there was one. */
    fun write(
        connection: Int,
        response: String,
        moment: CopyMoment,
        random: Random,
    ): WorkerAction {
        val (kind, earlier) = earlierResponses[connection]?.entries?.random(random) ?: return WorkerAction.Write(response)
        val isCut = random.nextBoolean()
        val copy = if (isCut) earlier.take(random.nextInt(1, earlier.length)) else earlier
        counts.merge(CopyKind(kind, moment, isCut), 1, Int::plus)
        val isAtOnce = moment == CopyMoment.BEFORE_RESPONSE && random.nextBoolean()
        val delayMs = random.nextLong(1, MAX_DELAY_MS)
        return when {
            isAtOnce -> WorkerAction.Write(copy + response)
            moment == CopyMoment.BEFORE_RESPONSE -> WorkerAction.WriteSlowly(sequenceOf(copy, response), delayMs)
            else -> WorkerAction.WriteSlowly(sequenceOf(response, copy), delayMs)
        }
    }

    private companion object {
        const val MAX_DELAY_MS = 40L
    }
}
