package io.monsoonpath.soak

import io.monsoonpath.platform.FakeStore
import io.monsoonpath.platform.FakeWorker
import io.monsoonpath.platform.GatewayHarness
import io.monsoonpath.platform.ReceivedRequest
import io.monsoonpath.platform.StoreContents
import io.monsoonpath.platform.WorkerAction
import io.monsoonpath.platform.signedResponse
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A machine kept bytes that were no answer until its memory was used up, and the requests of all its callers ended with the process. */
class EndlessResponseTest {
    @TempDir
    lateinit var folder: File

    /** A faulty response to requests of [route]: [head], then [part] again and again until the connection is closed. */
    private class Case(
        val name: String,
        val route: String,
        val head: (ReceivedRequest) -> String,
        val part: String = "x".repeat(PART_BYTES),
    )

    private val cases =
        listOf(
            Case("a first line", "unsafe", { "" }),
            Case("a header", "unsafe", { "HTTP/1.1 200 OK\r\nX-Long: " }),
            Case("interim responses", "unsafe", { "" }, "HTTP/1.1 102 Processing\r\n\r\n".repeat(100)),
            Case("a body", "unsafe", { signedHead(it) + "\r\n" }),
            Case("an event", "stream", { signedHead(it) + "\r\n" }),
            Case("an event in chunks", "stream", { signedHead(it) + "Transfer-Encoding: chunked\r\n\r\n" }, chunk),
            Case("an event of a resumable stream", "resume", { signedHead(it) + "\r\n" }),
            Case("a chunk size", "stream", { signedHead(it) + "Transfer-Encoding: chunked\r\n\r\n" }, "1".repeat(PART_BYTES)),
            Case("a failure in place of a stream", "stream", { signedHead(it, status = "500 Error") + "\r\n" }),
            Case("a refusal", "stream", { signedHead(it, status = "503 Full") + "Monsoonpath-Not-Executed: 1\r\n\r\n" }),
            Case("a misdirected response", "unsafe", { signedHead(it, status = "421 Misdirected Request") + "\r\n" }),
            Case("a response to another request", "unsafe", { signedHead(it, id = "other") + "\r\n" }),
        )

    private fun signedHead(
        request: ReceivedRequest,
        status: String = "200 OK",
        id: String = request.id,
    ) = "HTTP/1.1 $status\r\nMonsoonpath-Request-Id: $id\r\nMonsoonpath-Response-Signature: s\r\n"

    @TestFactory
    fun `responses without end cost the requests of other callers nothing`() =
        cases.mapIndexed { number, case -> DynamicTest.dynamicTest(case.name) { run(case, File(folder, "$number").apply { mkdir() }) } }

    private fun run(
        case: Case,
        folder: File,
    ) {
        val contents = StoreContents()
        val faulty = FakeWorker { r, _ -> WorkerAction.WriteSlowly(sequenceOf(case.head(r)) + generateSequence { case.part }, 0) }
        val sound = FakeWorker { r, _ -> WorkerAction.Write(signedResponse(r, "ok")) }
        val store = FakeStore(contents)
        val ports = EntryProcess.Ports(HOST)
        val instance = EntryProcess("entry", HOST, ports, listOf(HOST), store.port, folder)
        try {
            contents.put("op/config", configuration(case.route))
            contents.put("servers/faulty", entry("faulty", faulty.port))
            contents.put("servers/plain", entry("plain", sound.port))
            instance.start()
            await { instance.isReady() }
            val started = CountDownLatch(FAULTY_REQUESTS)
            val ended = CountDownLatch(FAULTY_REQUESTS)
            repeat(FAULTY_REQUESTS) { number ->
                thread(isDaemon = true) {
                    runCatching { exchange(instance, GatewayHarness.request(case.route, id = "faulty$number")) { started.countDown() } }
                    ended.countDown()
                }
            }
            started.await()
            var soundCount = 0
            do {
                val answer = exchange(instance, GatewayHarness.request("safe", id = "sound${soundCount++}"))
                assertEquals("HTTP/1.1 200", answer.take(12), "sound request $soundCount: $answer")
            } while (ended.count > 0 || soundCount < MIN_SOUND_REQUESTS)
            assertFalse(instance.hasExitedUnexpectedly, "the process has exited")
            val log = instance.logFile.readText()
            assertFalse("OutOfMemory" in log || "internal.error" in log, log.lines().firstOrNull { "rror" in it })
        } finally {
            instance.kill()
            listOf(faulty, sound, store).forEach { it.close() }
        }
    }

    /** The usual configuration, with the route [faultyRoute] to a service of its own. */
    private fun configuration(faultyRoute: String): String {
        val routeStart = GatewayHarness.CONFIGURATION.indexOf("\"name\":\"$faultyRoute\"")
        val service = GatewayHarness.CONFIGURATION.indexOf("\"service\":\"plain\"", routeStart)
        return GatewayHarness.CONFIGURATION
            .replaceRange(service, service + "\"service\":\"plain\"".length, "\"service\":\"faulty\"")
            .replace("\"services\":[", "\"services\":[{\"name\":\"faulty\",\"max_connections\":500},")
    }

    private fun entry(
        service: String,
        port: Int,
    ) = """{"service":"$service","address":"127.0.0.1:$port","zone":"z","version":"1","slots":128,""" +
        """"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}"""

    /** Sends [request] on a new connection, calls [onSent], and returns the beginning of what is received until the connection is closed. */
    private fun exchange(
        instance: EntryProcess,
        request: String,
        onSent: () -> Unit = {},
    ): String =
        Socket(HOST, instance.callerPort).use { socket ->
            socket.soTimeout = TIMEOUT_MS
            socket.getOutputStream().write(request.toByteArray())
            onSent()
            val input = socket.getInputStream()
            val first = input.readNBytes(SHOWN_BYTES)
            val rest = ByteArray(PART_BYTES)
            while (input.read(rest) >= 0) continue
            String(first)
        }

    private fun await(condition: () -> Boolean) {
        val deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S)
        while (!condition()) {
            assertTrue(System.nanoTime() < deadlineNs, "the instance did not become ready")
            LockSupport.parkNanos(POLL_NS)
        }
    }

    private companion object {
        const val HOST = "127.0.3.1"

        /** As many as two backend servers of 128 slots give to one of several instances. */
        const val FAULTY_REQUESTS = 100
        const val MIN_SOUND_REQUESTS = 20
        const val PART_BYTES = 4_000
        const val SHOWN_BYTES = 200
        const val TIMEOUT_MS = 10_000
        const val READY_TIMEOUT_S = 30L
        const val POLL_NS = 20_000_000L
        val chunk = "${PART_BYTES.toString(16)}\r\n${"x".repeat(PART_BYTES)}\r\n"
    }
}
