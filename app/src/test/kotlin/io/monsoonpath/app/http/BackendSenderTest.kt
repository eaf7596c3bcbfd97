package io.monsoonpath.app.http

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.monsoonpath.app.request.Exchange
import io.monsoonpath.app.request.RequestMetrics
import io.monsoonpath.app.request.SendResult
import io.monsoonpath.app.request.StageCall
import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.StageId
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.StageSpec
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.assertEquals

/** A part of an answer without a length was passed on as whole when its backend server crashed, as the client takes any close for the end. */
class BackendSenderTest {
    /** What a backend server sends, over HTTP/1, to the call that it has read. */
    private class Case(
        val name: String,
        val body: String,
        val isAnswered: Boolean,
        val hasLength: Boolean = false,
        val isReset: Boolean = false,
    )

    @TestFactory
    fun `a part of an answer is no answer`() =
        listOf(
            Case("whole, with a length", WHOLE, isAnswered = true, hasLength = true),
            Case("whole, without a length", WHOLE, isAnswered = true),
            Case("a list without a length", "[1,{\"a\":\"]\"}]", isAnswered = true),
            Case("nothing, without a length", "", isAnswered = false),
            Case("a part, then an end", WHOLE.dropLast(1), isAnswered = false),
            Case("a part, then a reset", WHOLE.dropLast(1), isAnswered = false, isReset = true),
            Case("a part within a string, then a reset", WHOLE.take(9), isAnswered = false, isReset = true),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                ServerSocket(0, 8, InetAddress.getLoopbackAddress()).use { server ->
                    thread(isDaemon = true) { runCatching { while (true) serve(server.accept(), case) } }
                    val result =
                        runBlocking { BackendSender(RequestMetrics(SimpleMeterRegistry())).send(callTo(server.localPort, REQUEST_BODY)) }
                    assertEquals(case.isAnswered, result is SendResult.Answered, "$result")
                    if (result is SendResult.Answered) assertEquals(case.body, result.body.decodeToString())
                }
            }
        }

    private fun serve(
        connection: Socket,
        case: Case,
    ) = connection.use {
        val input = connection.getInputStream()
        var head = ""
        while (!head.endsWith("\r\n\r\n")) head += input.read().toChar()
        if (head.startsWith("PRI ")) {
            connection.getOutputStream().write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".toByteArray())
            return
        }
        input.skipNBytes(REQUEST_BODY.length.toLong())
        val length = if (case.hasLength) "Content-Length: ${case.body.length}\r\n" else ""
        val labels = "$REQUEST_ID_HEADER: r\r\n$STAGE_HEADER: s\r\n$ATTEMPT_HEADER: 1\r\n"
        connection.getOutputStream().write("HTTP/1.1 200 OK\r\n$labels${length}Connection: close\r\n\r\n${case.body}".toByteArray())
        if (case.isReset) connection.setSoLinger(true, 0)
    }

    private companion object {
        const val REQUEST_BODY = "{}"
        const val WHOLE = "{\"by\":\"b\",\"of\":{}}"
    }
}

/** Returns the first attempt at the stage `s` of the request [id] with [body], on a backend server at [port] of the loopback address. */
internal fun callTo(
    port: Int,
    body: String,
    id: String = "r",
    scheme: String = "http",
) = StageCall(
    Exchange(RequestId(id), "/", ByteArray(0), null, 0, null, { error("the sender does not read the configuration") }),
    StageSpec(StageId("s"), StageKind.SERVICE, PoolId("p"), "/s"),
    AttemptId(1),
    BackendSpec(BackendId("b"), "$scheme://127.0.0.1:$port", PoolId("p"), FailureDomain("z"), coldLoad = 1, fullLoad = 1),
    body.toByteArray(),
    budgetMs = 5_000,
)
