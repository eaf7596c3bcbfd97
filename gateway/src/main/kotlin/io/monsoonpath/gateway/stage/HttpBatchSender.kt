package io.monsoonpath.gateway.stage

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.BackendCodec
import io.monsoonpath.gateway.http.BackendConnectionPools
import io.monsoonpath.gateway.http.ExchangeFailure
import io.monsoonpath.gateway.http.ExchangeOutcome
import io.monsoonpath.gateway.http.OutgoingRequest
import io.monsoonpath.gateway.http.exchange
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.LruMap

/**
 * Sends batch calls to stage workers over HTTP.
 *
 * Responses to batch calls carry no id, and a worker may send a second copy of a response when the connection is already used for the next
 * call. Handles are never issued twice, so a response with a handle that was received before is such a copy. A response without handles
 * could not be recognized, so its connection is not used again; neither is one on which a release was refused.
 */
class HttpBatchSender(
    private val connectionPools: BackendConnectionPools,
    private val codec: BackendCodec,
    private val directory: BackendDirectory,
    private val gate: BackendGate,
    private val loads: BackendLoads,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
) : BatchSender {
    private val receivedHandles = LruMap<String, Unit>(MAX_RECEIVED_HANDLES)

    override fun execute(
        worker: BackendServer,
        pieces: List<Piece>,
        timeoutMs: Long,
        onSent: () -> Unit,
        done: (BatchOutcome) -> Unit,
    ) {
        val selectedAtMs = clock.nowMs()
        gate.recordSelected(worker, selectedAtMs)
        val call =
            OutgoingRequest.Deferred {
                if (!gate.mayWrite(worker, selectedAtMs)) return@Deferred null
                onSent()
                codec.encodeBatch(worker, pieces, clock.nowMs())
            }
        val maxBodyBytes = MAX_OTHER_BYTES + MAX_RESULT_BYTES * pieces.size
        connectionPools.poolFor(worker).exchange(
            call,
            timeoutMs,
            maxBodyBytes,
            scheduler,
            isReusable = { isRecognizable(it, pieces.size) },
            onHead = {
                val head = codec.decode(it)
                gate.recordHead(worker, head, selectedAtMs)
                // A misdirected call was answered by another server, whose load says nothing about the worker.
                if (head.status != MISDIRECTED) loads.recordReport(worker, head.load)
            },
        ) {
            gate.recordEnd(worker, selectedAtMs)
            done(read(it, pieces.size))
        }
    }

    /** Returns whether a second copy of [response] would be recognized, and [response] itself is none. */
    private fun isRecognizable(
        response: ExchangeOutcome.Completed,
        count: Int,
    ): Boolean {
        val handles = codec.decodeBatch(response.body, count)?.let(::handlesOf).orEmpty()
        return handles.isNotEmpty() && handles.none { it in receivedHandles }
    }

    private fun handlesOf(results: List<PieceResult>) = results.mapNotNull { (it as? PieceResult.Completed)?.handle }

    private fun read(
        outcome: ExchangeOutcome,
        count: Int,
    ): BatchOutcome =
        when (outcome) {
            // The gate has kept the call from the worker.
            is ExchangeOutcome.Failed if outcome.failure == ExchangeFailure.EXPIRED -> BatchOutcome.Rejected
            is ExchangeOutcome.Failed -> BatchOutcome.Lost(outcome.failure.name)
            is ExchangeOutcome.TimedOut -> BatchOutcome.Lost("no answer within ${outcome.timeoutMs} ms")
            is ExchangeOutcome.Completed -> {
                val head = codec.decode(outcome.response)
                val results = if (head.status == OK) codec.decodeBatch(outcome.body, count) else null
                when {
                    head.isNotRun || head.status == MISDIRECTED -> BatchOutcome.Rejected
                    results == null -> BatchOutcome.Lost("status ${head.status} without results")
                    handlesOf(results).any { it in receivedHandles } -> BatchOutcome.Lost("a second copy of an earlier answer")
                    else -> BatchOutcome.Answered(results.also { handlesOf(it).forEach { handle -> receivedHandles[handle] = Unit } })
                }
            }
        }

    override fun workerOf(handle: String): BackendServer? = codec.addressOf(handle)?.let(directory::findByAddress)

    override fun release(
        worker: BackendServer,
        handles: List<String>,
    ) {
        // The outcome is ignored: after a lost release, the worker frees the memory when the result expires.
        val call = OutgoingRequest.Ready(codec.encodeRelease(worker, handles))
        connectionPools.poolFor(worker).exchange(
            call,
            RELEASE_TIMEOUT_MS,
            MAX_OTHER_BYTES,
            scheduler,
            // A second copy of a refusal would be taken for that of the next call.
            isReusable = { codec.decode(it.response).status == OK },
        ) { }
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421

        /** Handles are addresses with an id, of some thirty bytes. */
        const val MAX_RESULT_BYTES = 1_024
        const val MAX_OTHER_BYTES = 16 * 1024
        const val RELEASE_TIMEOUT_MS = 2_000L

        /** The results of many seconds, although a copy follows its original within a few calls. */
        const val MAX_RECEIVED_HANDLES = 8_192
    }
}
