package io.monsoonpath.gateway.stage

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.BackendCodec
import io.monsoonpath.gateway.http.BackendConnectionPools
import io.monsoonpath.gateway.http.ExchangeOutcome
import io.monsoonpath.gateway.http.FullResponseListener
import io.monsoonpath.gateway.http.exchange
import io.monsoonpath.model.ClockMs

/** Sends batch calls to stage workers over HTTP. */
class HttpBatchSender(
    private val connectionPools: BackendConnectionPools,
    private val codec: BackendCodec,
    private val directory: BackendDirectory,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
) : BatchSender {
    override fun execute(
        worker: BackendServer,
        pieces: List<Piece>,
        timeoutMs: Long,
        done: (BatchOutcome) -> Unit,
    ) {
        connectionPools
            .poolFor(
                worker,
            ).exchange(codec.encodeBatch(worker, pieces, clock.nowMs()), timeoutMs, scheduler) { done(read(it, pieces.size)) }
    }

    private fun read(
        outcome: ExchangeOutcome,
        count: Int,
    ): BatchOutcome =
        when (outcome) {
            is ExchangeOutcome.Failed -> BatchOutcome.Lost(outcome.failure.name)
            is ExchangeOutcome.TimedOut -> BatchOutcome.Lost("no answer within ${outcome.timeoutMs} ms")
            is ExchangeOutcome.Completed -> {
                val head = codec.decode(outcome.response)
                val results = if (head.status == OK) codec.decodeBatch(outcome.body, count) else null
                when {
                    head.isNotRun || head.status == MISDIRECTED -> BatchOutcome.Rejected
                    results == null -> BatchOutcome.Lost("status ${head.status} without results")
                    else -> BatchOutcome.Answered(results)
                }
            }
        }

    override fun workerOf(handle: String): BackendServer? = codec.addressOf(handle)?.let(directory::findByAddress)

    override fun release(
        worker: BackendServer,
        handles: List<String>,
    ) {
        // The outcome is ignored: after a lost release, the worker frees the memory when the result expires.
        connectionPools.poolFor(worker).send(codec.encodeRelease(worker, handles), FullResponseListener { })
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
    }
}
