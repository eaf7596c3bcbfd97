package io.monsoonpath.app.http

import com.linecorp.armeria.server.HttpService
import java.util.concurrent.atomic.AtomicInteger

/** Counts the requests whose responses are not complete yet, including streams. */
internal class RunningRequests {
    private val running = AtomicInteger()

    /** The number of running requests. */
    val count: Int get() = running.get()

    /** Returns a service that counts the requests to [service] while they run. */
    fun counted(service: HttpService) =
        HttpService { ctx, request ->
            running.incrementAndGet()
            ctx.log().whenComplete().thenRun { running.decrementAndGet() }
            service.serve(ctx, request)
        }

    /** Waits at most [timeoutMs] milliseconds until no request is running; returns `true` if none is. */
    fun awaitIdle(timeoutMs: Long): Boolean {
        val deadlineNs = System.nanoTime() + timeoutMs * NS_PER_MS
        while (running.get() > 0 && System.nanoTime() < deadlineNs) Thread.sleep(POLL_INTERVAL_MS)
        return running.get() == 0
    }

    private companion object {
        const val NS_PER_MS = 1_000_000L
        const val POLL_INTERVAL_MS = 10L
    }
}
