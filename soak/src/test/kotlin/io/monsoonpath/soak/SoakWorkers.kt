package io.monsoonpath.soak

import io.monsoonpath.platform.FakeWorker
import io.monsoonpath.platform.ReceivedRequest
import io.monsoonpath.platform.StoreContents
import io.monsoonpath.platform.WorkerAction
import io.monsoonpath.platform.notRunResponse
import io.monsoonpath.platform.signedResponse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random

/** The signed response of a worker. The [signature] differs for each response. */
data class WorkerAnswer(
    val status: Int,
    val signature: String,
    val body: String,
    /** Whether the response says that the worker is leaving. */
    val isLeaving: Boolean = false,
)

/**
 * The execution of [request] by the worker with the id [worker], [atMs] milliseconds after the start of the traffic.
 *
 * [answer] is null if the worker did not write a complete response.
 */
class Execution(
    val worker: String,
    val request: ReceivedRequest,
    val atMs: Long,
    val answer: WorkerAnswer?,
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
 * (not for streams), responds late, writes a copy of an earlier response after the response, or writes one in front of a response, which
 * is then an error in every other case. What is written follows from [seed], the worker, the request and the earlier responses on the
 * connection. Beside that, a worker gives the [notices] that it is told to give.
 */
class SoakWorkers(
    private val seed: Long,
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
    private val writes = AtomicInteger()
    private val lateCopyCounts = ConcurrentHashMap<CopyKind, Int>()
    private val drainingIds = HashSet<String>()

    /** The number of late copies of each kind that were written. */
    val lateCopies: Map<CopyKind, Int> get() = lateCopyCounts

    /** Every execution of a request by any worker, in no particular order. */
    val executions = ConcurrentLinkedQueue<Execution>()

    /** Every request that any worker received, in no particular order. */
    val arrivals = ConcurrentLinkedQueue<Arrival>()

    /** The notices that the workers give in their responses. */
    val notices = CurrentNotices()

    /** The times at which workers crashed because of the prompt of a request. */
    val crashTimesMs = ConcurrentLinkedQueue<Long>()

    /** The ids of the registered workers, in the order of their starts. */
    val ids: List<String> get() = synchronized(workers) { workers.keys.toList() }

    /** Returns the proxy in front of the worker with [id], or null if it is not registered. */
    fun proxyOf(id: String): Proxy? = workers[id]?.proxy

    /** Starts a worker and registers it. */
    fun start() {
        val id = "w-${startedCount.incrementAndGet()}"
        val copies = LateCopies(lateCopyCounts)
        val server = FakeWorker { request, number -> actionFor(id, request, number, copies) }
        val proxy = Proxy(server.port)
        workers[id] = Worker(server, proxy)
        register(id)
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

    /** Marks the worker with [id] as draining. Returns false if it is draining already or not registered. */
    fun drain(id: String): Boolean =
        synchronized(workers) {
            val isFirst = id in workers && drainingIds.add(id)
            if (isFirst) register(id)
            isFirst
        }

    /** Removes the worker with [id] from the store. Its server and its proxy keep running, also after [close]. */
    fun remove(id: String) {
        synchronized(workers) {
            store.put("servers/$id", null)
            workers.remove(id)
        }
    }

    /** Writes the state of the worker with [id] to the store again, which has lost it. */
    fun writeAgain(id: String) = synchronized(workers) { if (id in workers) register(id) else store.put("servers/$id", null) }

    private fun register(id: String) =
        synchronized(workers) {
            val state = if (id in drainingIds) "draining" else "ready"
            store.put(
                "servers/$id",
                """{"service":"plain","address":"127.0.0.1:${workers.getValue(id).proxy.port}","zone":"z","version":"1","slots":16,""" +
                    """"state":"$state","cold_remaining_ms":0,"sequence":${writes.incrementAndGet()},"born":1}""",
            )
        }

    private fun actionFor(
        worker: String,
        request: ReceivedRequest,
        number: Int,
        copies: LateCopies,
    ): WorkerAction {
        val random = Random("$seed $worker ${request.id}".hashCode())
        val waitMs = notices.waitMsOf(worker, nowMs())
        val isLeaving = notices.isLeaving(worker)
        arrivals += Arrival(worker, request.id, nowMs(), waitMs)
        val failureSlot = number % FAILURE_CYCLE
        if (failureSlot == TURNED_AWAY || waitMs != null) {
            val extra = (if (isLeaving) LEAVING_HEADER else "") + waitMs?.let { retryAfterHeader(it) }.orEmpty()
            val refusal = withKeepAlive(notRunResponse(request).replaceFirst("\r\n", "\r\n$extra"), random)
            copies.record(request.connection, ResponseKind.REFUSAL, refusal)
            return WorkerAction.Write(refusal)
        }
        if (isFatal(request)) {
            executions += Execution(worker, request, nowMs(), answer = null)
            recordCrash(worker)
            return WorkerAction.Crash("")
        }
        val isFailure = failureSlot == FAILED || (failureSlot in COPY_BEFORE && random.nextBoolean())
        val answer = answerTo(request, "$worker.$number.${request.id}", isFailure).copy(isLeaving = isLeaving)
        executions += Execution(worker, request, nowMs(), answer.takeUnless { failureSlot == CUT || failureSlot == LOST })
        if (failureSlot == SLOW) LockSupport.parkNanos(SLOW_RESPONSE_NS)
        val response = responseText(request, answer, random)
        return when (failureSlot) {
            CUT -> WorkerAction.WriteAndReset(response.dropLast(4))
            LOST -> WorkerAction.WriteAndReset("")
            DUPLICATED -> WorkerAction.Write(response + if (isStream(request)) "" else signedResponse(request, "an extra answer"))
            else -> writeWhole(request.connection, response, answer, failureSlot, copies, random)
        }
    }

    private fun writeWhole(
        connection: Int,
        response: String,
        answer: WorkerAnswer,
        failureSlot: Int,
        copies: LateCopies,
        random: Random,
    ): WorkerAction {
        val kind = if (answer.status == OK) ResponseKind.SUCCESS else ResponseKind.ERROR
        if (failureSlot in COPY_BEFORE) {
            val action = copies.write(connection, response, CopyMoment.BEFORE_RESPONSE, random)
            copies.record(connection, kind, response)
            return action
        }
        copies.record(connection, kind, response)
        if (failureSlot != COPY_AFTER) return WorkerAction.Write(response)
        return copies.write(connection, response, CopyMoment.AFTER_RESPONSE, random)
    }

    private fun isStream(request: ReceivedRequest) = "/stream/" in request.firstLine

    private fun answerTo(
        request: ReceivedRequest,
        signature: String,
        isFailure: Boolean,
    ): WorkerAnswer =
        when {
            isFailure -> WorkerAnswer(INTERNAL_SERVER_ERROR, signature, "failed")
            isStream(request) -> WorkerAnswer(OK, signature, eventsOf(request.id))
            else -> WorkerAnswer(OK, signature, bodyOf(request.id))
        }

    private fun responseText(
        request: ReceivedRequest,
        answer: WorkerAnswer,
        random: Random,
    ): String {
        val status = if (answer.status == OK) "200 OK" else "${answer.status} Internal Server Error"
        val extra =
            (if (answer.isLeaving) LEAVING_HEADER else "") +
                (if (isStream(request) && answer.status == OK) "Content-Type: text/event-stream\r\n" else "")
        return withKeepAlive(signedResponse(request, answer.body, status, extra = extra, signature = answer.signature), random)
    }

    /** Returns [response] with a header that keeps the connection, and with its headers in any order, so that a cut copy may lack each. */
    private fun withKeepAlive(
        response: String,
        random: Random,
    ): String {
        val head = response.substringBefore("\r\n\r\n").split("\r\n")
        val headers = (head.drop(1) + "Keep-Alive: timeout=5").shuffled(random)
        return (head.take(1) + headers).joinToString("\r\n") + "\r\n\r\n" + response.substringAfter("\r\n\r\n")
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
        const val COPY_AFTER = 16
        val COPY_BEFORE = setOf(10, 15)
        const val OK = 200
        const val INTERNAL_SERVER_ERROR = 500
        const val SLOW_RESPONSE_NS = 300_000_000L
    }
}

private const val EVENT_COUNT = 5
