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
    private val queuedTasks = AtomicInteger()

    /** Tasks that were dropped because too many waited. */
    val droppedTasks = LongAdder()

    /** Hands [task] to the loop; it is dropped if [MAX_QUEUED_TASKS] tasks wait or the loop has ended. */
    fun post(task: () -> Unit) {
        if (queuedTasks.incrementAndGet() > MAX_QUEUED_TASKS || !execute(task)) {
            queuedTasks.decrementAndGet()
            droppedTasks.increment()
        }
    }

    /** Runs [task] every [periodMs]; runs that were missed are not made up for. */
    fun scheduleWithFixedDelay(
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
                queuedTasks.decrementAndGet()
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
        const val MAX_QUEUED_TASKS = 20_000
    }
}
