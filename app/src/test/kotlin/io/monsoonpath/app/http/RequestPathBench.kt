package io.monsoonpath.app.http

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.Phaser
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.test.assertEquals

/** Latency percentiles at one request rate, in microseconds. */
internal class Latencies(
    val p50Us: Long,
    val p99Us: Long,
)

/** Measures one-stage requests sent through an instance and sent directly to its backend server, all in one process. */
internal class RequestPathBench : AutoCloseable {
    private val workspace = WorkspaceSpec(WorkspaceId("w1"), rateMilliPerS = 1_000_000_000, burst = 1_000_000)
    private val harness = Harness(workspace = workspace)
    private val factory = ClientFactory.builder().maxNumEventLoopsPerEndpoint(CLIENT_EVENT_LOOPS).build()
    private val ids = AtomicLong()
    private val throughInstance = target("http://127.0.0.1:${harness.server.port}", "/v1/run")
    private val direct = target(harness.backends[0][0].url, "/s0")

    init {
        harness.backends.flatten().forEach { it.recordsCalls = false }
    }

    private class Target(
        val client: WebClient,
        val path: String,
    )

    private fun target(
        url: String,
        path: String,
    ) = Target(WebClient.builder(url).factory(factory).build(), path)

    /**
     * Measures for [seconds] how many requests per second are answered with status 200, with [CONCURRENCY] requests in flight.
     *
     * The requests are sent through the instance if [isThroughInstance] is `true`, and directly to the backend server otherwise.
     */
    fun throughput(
        isThroughInstance: Boolean,
        seconds: Double,
    ): Double {
        val target = if (isThroughInstance) throughInstance else direct
        val answered = AtomicLong()
        val running = Phaser(1)
        val startNs = System.nanoTime()
        val endNs = startNs + (seconds * NS_PER_S).toLong()
        repeat(CONCURRENCY) {
            running.register()
            repeatUntil(target, endNs, answered, running)
        }
        running.arriveAndAwaitAdvance()
        return answered.get() * NS_PER_S / (System.nanoTime() - startNs)
    }

    private fun repeatUntil(
        target: Target,
        endNs: Long,
        answered: AtomicLong,
        running: Phaser,
    ) {
        send(target).whenComplete { status, _ ->
            if (status == HttpStatus.OK) answered.incrementAndGet()
            if (System.nanoTime() < endNs) repeatUntil(target, endNs, answered, running) else running.arriveAndDeregister()
        }
    }

    /**
     * Measures latencies at [requestsPerS] requests per second for [seconds].
     *
     * Direct requests and requests through the instance alternate, so that both are affected by the same disturbances. Each of the
     * two has the full rate.
     *
     * @return the latencies of direct requests and of requests through the instance, counted from the time at which each was due
     */
    fun latencies(
        requestsPerS: Int,
        seconds: Double,
    ): Pair<Latencies, Latencies> {
        val histograms = List(2) { ConcurrentHistogram(3) }
        val running = Phaser(1)
        val failures = AtomicLong()
        val startNs = System.nanoTime()
        for (n in 0 until (2 * requestsPerS * seconds).toInt()) {
            val dueNs = startNs + n * (NS_PER_S / requestsPerS / 2).toLong()
            waitUntil(dueNs)
            running.register()
            send(if (n % 2 == 0) direct else throughInstance).whenComplete { status, _ ->
                histograms[n % 2].recordValue(((System.nanoTime() - dueNs) / NS_PER_US).coerceAtLeast(0))
                if (status != HttpStatus.OK) failures.incrementAndGet()
                running.arriveAndDeregister()
            }
        }
        running.arriveAndAwaitAdvance()
        assertEquals(0, failures.get(), "failed requests")
        return toLatencies(histograms[0]) to toLatencies(histograms[1])
    }

    private fun toLatencies(histogram: ConcurrentHistogram) =
        Latencies(histogram.getValueAtPercentile(50.0), histogram.getValueAtPercentile(99.0))

    private fun waitUntil(dueNs: Long) {
        while (true) {
            val remainingNs = dueNs - System.nanoTime()
            if (remainingNs <= 0) return
            if (remainingNs > SPIN_THRESHOLD_NS) LockSupport.parkNanos(remainingNs - SPIN_THRESHOLD_NS) else Thread.onSpinWait()
        }
    }

    private fun send(target: Target) =
        target.client
            .execute(HttpRequest.of(head(target.path), HttpData.wrap(BODY)))
            .aggregate()
            .thenApply { it.status() }

    private fun head(path: String): RequestHeaders =
        RequestHeaders
            .builder(HttpMethod.POST, path)
            .add(REQUEST_ID_HEADER, "b${ids.incrementAndGet()}")
            .add("authorization", "Bearer $TEST_KEY")
            .add(STAGE_HEADER, "s0")
            .add(ATTEMPT_HEADER, "1")
            .build()

    override fun close() {
        factory.closeAsync()
        harness.close()
    }

    private companion object {
        const val CONCURRENCY = 64
        const val CLIENT_EVENT_LOOPS = 4
        const val NS_PER_S = 1e9
        const val NS_PER_US = 1_000L
        const val SPIN_THRESHOLD_NS = 200_000L
        val BODY = """{"text":"a left-hand hinge of 90 mm with a worn knuckle"}""".toByteArray()
    }
}
