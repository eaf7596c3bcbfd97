package io.monsoonpath.app.platform

import io.monsoonpath.app.client.GuardedClients
import io.monsoonpath.app.client.Place
import io.monsoonpath.app.client.StutteringServer
import io.monsoonpath.app.client.lengthOf
import io.monsoonpath.app.client.responseHead
import io.monsoonpath.coordination.replication.DocumentKind
import io.monsoonpath.coordination.replication.ReadResult
import kotlinx.coroutines.future.await
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import java.util.concurrent.Executors
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A platform that wrote a part of an earlier head once more, on a kept connection, had an error read as a document or as no change. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PlatformClientTest {
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val clients = GuardedClients("platform")

    @AfterAll
    fun stop() {
        clients.close()
        threads.shutdownNow()
    }

    @TestFactory
    fun `an error is neither a document nor an unchanged one`() =
        Place.entries.flatMap { place ->
            listOf(
                "a document" to responseHead("HTTP/1.1 200 OK", "content-type: application/json", "x-revision: 7", lengthOf(BODY)) + BODY,
                "no change" to responseHead("HTTP/1.1 304 Not Modified", "content-type: application/json", "x-revision: 7"),
            ).map { (name, first) -> DynamicTest.dynamicTest("$name, once more $place") { verifyEachLength(place, first) } }
        }

    private fun verifyEachLength(
        place: Place,
        first: String,
    ) {
        val accepted =
            runBlocking(clients.dispatcher) {
                (0 until first.indexOf("\r\n\r\n")).filter { length ->
                    StutteringServer(threads, place, first, ERROR, first.take(length)).use { server -> isErrorAccepted(server) }
                }
            }
        assertEquals(emptyList(), accepted.map { first.take(it) })
    }

    private suspend fun isErrorAccepted(server: StutteringServer): Boolean =
        PlatformClient("h1c://127.0.0.1:${server.port}", clients.factory).use { client ->
            val before = client.read(DocumentKind.CONFIGURATION, 0, 0).await()
            assertFalse(before is ReadResult.Failed, "the first read failed")
            repeat(YIELDS) { yield() }
            val result = client.read(DocumentKind.CONFIGURATION, 0, 0).await()
            assertTrue(server.wasReused, "the second read used another connection")
            result !is ReadResult.Failed
        }

    private companion object {
        const val BODY = "{}"
        const val YIELDS = 8
        val ERROR = responseHead("HTTP/1.1 503 Service Unavailable", lengthOf(BODY)) + BODY
    }
}
