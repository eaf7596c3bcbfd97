package io.monsoonpath.app.control

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.CountDownLatch
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder

/** The one thread that changes the state of the controllers; everything else hands it tasks. */
internal class ControlLoop(
    name: String,
) : AutoCloseable {
    private val log = KotlinLogging.logger {}
    private val executor = ScheduledThreadPoolExecutor(1) { task -> Thread(task, name).apply { isDaemon = true } }
    private val waiting = AtomicInteger()

    /** Tasks that were dropped because too many waited. */
    val dropped = LongAdder()

    /** Hands [task] to the loop; it is dropped if [MAX_WAITING] tasks wait or the loop has ended. */
    fun post(task: () -> Unit) {
        if (waiting.incrementAndGet() > MAX_WAITING || !execute(task)) {
            waiting.decrementAndGet()
            dropped.increment()
        }
    }

    /** Runs [task] every [periodMs]; runs that were missed are not made up for. */
    fun every(
        periodMs: Long,
        task: () -> Unit,
    ) {
        executor.scheduleWithFixedDelay({ runSafely(task) }, 0, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Stops the loop until the returned handle is closed, as if the process were paused. */
    fun pause(): AutoCloseable {
        val resumed = CountDownLatch(1)
        executor.execute { resumed.await() }
        return AutoCloseable { resumed.countDown() }
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun execute(task: () -> Unit): Boolean =
        try {
            executor.execute {
                waiting.decrementAndGet()
                runSafely(task)
            }
            true
        } catch (_: RejectedExecutionException) {
            false
        }

    private fun runSafely(task: () -> Unit) {
        try {
            task()
        } catch (e: Exception) {
            log.error(e) { "a task of the control loop failed" }
        }
    }

    private companion object {
        const val MAX_WAITING = 20_000
    }
}
