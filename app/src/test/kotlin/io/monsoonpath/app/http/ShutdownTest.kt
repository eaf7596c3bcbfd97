package io.monsoonpath.app.http

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.app.standin.DEMO_KEY
import io.monsoonpath.app.standin.StandInBackend
import io.monsoonpath.app.standin.StandInBehavior
import io.monsoonpath.app.standin.StandInPlatform
import io.monsoonpath.app.standin.demoConfiguration
import io.monsoonpath.app.standin.demoSettings
import io.monsoonpath.app.standin.publishAndAwaitServing
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.RefusalReason
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests a graceful shutdown of a whole instance under load. */
class ShutdownTest {
    private val encoder = StandInBackend("encode").start()
    private val engine = StandInBackend("generate").start()
    private val platform = StandInPlatform().start()
    private val instance: EntryInstance

    init {
        platform.publish(demoConfiguration(mapOf("encode" to encoder.url, "generate" to engine.url)))
        val settings = demoSettings(1, platform.url)
        val timing = settings.timing.copy(shutdownGraceMs = 300, shutdownDrainMs = 20_000)
        instance = EntryInstance(settings.copy(timing = timing))
        instance.start()
        platform.publishAndAwaitServing(listOf(instance))
        instance.ready.get(10, TimeUnit.SECONDS)
    }

    private fun operatorStatus(path: String): Int =
        WebClient
            .of("http://127.0.0.1:${instance.operatorPort}")
            .get(path)
            .aggregate()
            .join()
            .status()
            .code()

    @Test
    fun `a graceful shutdown interrupts no request and no stream`() {
        encoder.behavior = { StandInBehavior.Answer(20) }
        engine.behavior = { if (it.requestId == "stream") StandInBehavior.Tokens(100, tokenMs = 10) else StandInBehavior.Answer(20) }
        val factory = ClientFactory.builder().build()
        val client = WebClient.builder("http://127.0.0.1:${instance.callerPort}").factory(factory).build()
        assertEquals(200, operatorStatus("/readyz"))
        val stream = BodyReader(client.execute(headers("stream", "text/event-stream"), "{}"))
        stream.awaitStart()
        val whole = AtomicInteger()
        val refused = AtomicInteger()
        val load = CompletableFuture.allOf(*Array(8) { sendUntilRefused(client, it, whole, refused) })
        eventually("the load did not start") { whole.get() >= 8 }
        val closing = CompletableFuture.runAsync { instance.close() }
        eventually("the instance stayed ready") { operatorStatus("/readyz") == 503 }
        assertEquals(200, operatorStatus("/healthz"))
        load.get(20, TimeUnit.SECONDS)
        closing.get(20, TimeUnit.SECONDS)
        assertEquals("end" to """{"count":100}""", parseEvents(stream.await()).last().let { it.name to it.data })
        assertEquals(8, refused.get(), "each worker ends with one refusal")
        factory.closeAsync()
        encoder.stop()
        engine.stop()
        platform.close()
    }

    /** Sends requests one after another until one is refused. Each must get the complete answer or a refusal that says not-run. */
    private fun sendUntilRefused(
        client: WebClient,
        number: Int,
        whole: AtomicInteger,
        refused: AtomicInteger,
    ): CompletableFuture<Unit> =
        CompletableFuture.supplyAsync {
            var n = 0
            while (true) {
                val id = "w$number-${n++}"
                val answer = client.execute(headers(id, "application/json"), """{"id":"$id"}""").aggregate().join()
                if (answer.status().code() != 200) {
                    assertEquals(RefusalReason.SHUTTING_DOWN to ExecutionStatus.NOT_RUN, answer.refusal().let { it.reason to it.ran })
                    assertEquals(0, encoder.runsOf(id))
                    refused.incrementAndGet()
                    break
                }
                assertEquals("""{"by":"generate","of":{"by":"encode","of":{"id":"$id"}}}""", answer.contentUtf8())
                whole.incrementAndGet()
            }
        }

    private fun headers(
        id: String,
        accept: String,
    ) = RequestHeaders.of(HttpMethod.POST, "/v1/match", REQUEST_ID_HEADER, id, "authorization", "Bearer $DEMO_KEY", "accept", accept)
}
