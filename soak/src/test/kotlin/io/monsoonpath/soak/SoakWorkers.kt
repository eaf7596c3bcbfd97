package io.monsoonpath.soak

import io.monsoonpath.platform.FakeWorker
import io.monsoonpath.platform.ReceivedRequest
import io.monsoonpath.platform.StoreContents
import io.monsoonpath.platform.WorkerAction
import io.monsoonpath.platform.notRunResponse
import io.monsoonpath.platform.signedResponse
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/** The execution of [request] by the worker with the id [worker], [atMs] milliseconds after the start of the traffic. */
class Execution(
    val worker: String,
    val request: ReceivedRequest,
    val atMs: Long,
)

/** A part of a prompt that crashes each worker that begins to answer it. */
const val FATAL_PART = "dead"

/** Returns whether the prompt of [request] contains [FATAL_PART]. */
fun isFatal(request: ReceivedRequest) = ",$FATAL_PART:" in request.headers["monsoonpath-prompt-prefix"].orEmpty()

/** Returns the response body of a worker for the request with [id]. */
fun bodyOf(id: String) = "answer to $id"

/** Returns the events that a worker streams for the request with [id]. */
fun eventsOf(id: String) = (1..EVENT_COUNT).joinToString("") { "id: $it\ndata: $id\n\n" }

/**
 * The fake backend servers (workers) of the soak, each behind a [Proxy] and registered in the store.
 *
 * Each worker numbers its requests. Of every [FAILURE_CYCLE] requests it handles one in each of these faulty ways: it refuses the request
 * as not run, answers with status 500, truncates the response, resets the connection without a response, sends an extra response
 * (not for streams), or responds late.
 */
class SoakWorkers(
    private val store: StoreContents,
    private val nowMs: () -> Long,
    private val scheduleAfter: (Long, () -> Unit) -> Unit,
) : AutoCloseable {
    private class Worker(
        val server: FakeWorker,
        val proxy: Proxy,
    )

    private val workers = java.util.Collections.synchronizedMap(LinkedHashMap<String, Worker>())
    private val startedCount = AtomicInteger()

    /** Every execution of a request by any worker, in no particular order. */
    val executions = ConcurrentLinkedQueue<Execution>()

    /** The times at which workers crashed because of the prompt of a request. */
    val crashTimesMs = ConcurrentLinkedQueue<Long>()

    /** The proxies in front of the registered workers. */
    val proxies: List<Proxy> get() = synchronized(workers) { workers.values.map { it.proxy } }

    /** Starts a worker and registers it. */
    fun start() {
        val id = "w-${startedCount.incrementAndGet()}"
        val server = FakeWorker { request, number -> actionFor(id, request, number) }
        val proxy = Proxy(server.port)
        workers[id] = Worker(server, proxy)
        register(id, "ready", sequence = 1)
    }

    /**
     * Records the crash of the worker with [id]. Its entry expires, and a worker with another id takes its place. Its
     * proxy still accepts connections, so that only the entry tells the crash from a lost connection.
     */
    private fun recordCrash(id: String) {
        crashTimesMs += nowMs()
        scheduleAfter(ENTRY_EXPIRY_MS) {
            remove(id)
            start()
        }
    }

    /** Marks the oldest worker as draining and returns its id. */
    fun drainOldest(): String {
        val id = synchronized(workers) { workers.keys.first() }
        register(id, "draining", sequence = 2)
        return id
    }

    /** Removes the worker with [id] from the store. Its server and its proxy keep running, also after [close]. */
    fun remove(id: String) {
        store.put("servers/$id", null)
        workers.remove(id)
    }

    private fun register(
        id: String,
        state: String,
        sequence: Int,
    ) = store.put(
        "servers/$id",
        """{"service":"plain","address":"127.0.0.1:${workers.getValue(id).proxy.port}","zone":"z","version":"1","slots":16,""" +
            """"state":"$state","cold_remaining_ms":0,"sequence":$sequence,"born":1}""",
    )

    private fun actionFor(
        worker: String,
        request: ReceivedRequest,
        number: Int,
    ): WorkerAction {
        val failureSlot = number % FAILURE_CYCLE
        if (failureSlot == TURNED_AWAY) return WorkerAction.Write(notRunResponse(request))
        executions += Execution(worker, request, nowMs())
        if (isFatal(request)) {
            recordCrash(worker)
            return WorkerAction.Crash("")
        }
        if (failureSlot == SLOW) LockSupport.parkNanos(SLOW_RESPONSE_NS)
        val isStream = "/stream/" in request.firstLine
        val response = if (isStream) streamedResponse(request) else signedResponse(request, bodyOf(request.id))
        return when (failureSlot) {
            FAILED -> WorkerAction.Write(signedResponse(request, "failed", status = "500 Internal Server Error"))
            CUT -> WorkerAction.WriteAndReset(response.dropLast(4))
            LOST -> WorkerAction.WriteAndReset("")
            DUPLICATED -> WorkerAction.Write(response + if (isStream) "" else signedResponse(request, "an extra answer"))
            else -> WorkerAction.Write(response)
        }
    }

    private fun streamedResponse(request: ReceivedRequest): String {
        val events = eventsOf(request.id)
        return signedResponse(request, events, extra = "Content-Type: text/event-stream\r\n")
    }

    override fun close() =
        workers.values.forEach {
            it.proxy.close()
            it.server.close()
        }

    private companion object {
        /** The time after which the entry of a crashed worker is removed. */
        const val ENTRY_EXPIRY_MS = 800L
        const val FAILURE_CYCLE = 41
        const val TURNED_AWAY = 7
        const val FAILED = 13
        const val CUT = 19
        const val LOST = 26
        const val DUPLICATED = 31
        const val SLOW = 37
        const val SLOW_RESPONSE_NS = 300_000_000L
    }
}

private const val EVENT_COUNT = 5
