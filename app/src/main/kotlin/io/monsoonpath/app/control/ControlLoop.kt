package io.monsoonpath.app.control

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.CountDownLatch
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder

/** The single thread that changes the state of the controllers. All other threads post tasks to it. */
internal class ControlLoop(
    name: String,
) : AutoCloseable {
    private val log = KotlinLogging.logger {}
    private val executor = ScheduledThreadPoolExecutor(1) { task -> Thread(task, name).apply { isDaemon = true } }
    private val queuedTasks = AtomicInteger()

    /** The number of tasks that were dropped because the queue was full or the loop was closed. */
    val droppedTasks = LongAdder()

    /** Queues [task]. The task is dropped if [MAX_QUEUED_TASKS] tasks are queued or the loop is closed. */
    fun post(task: () -> Unit) {
        if (queuedTasks.incrementAndGet() > MAX_QUEUED_TASKS || !execute(task)) {
            queuedTasks.decrementAndGet()
            droppedTasks.increment()
        }
    }

    /** Runs [task] repeatedly, with a delay of [periodMs] after each run. Missed runs are not made up for. */
    fun scheduleWithFixedDelay(
        periodMs: Long,
        task: () -> Unit,
    ) {
        executor.scheduleWithFixedDelay({ runSafely(task) }, 0, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Blocks the loop until the returned handle is closed, as if the process were paused. */
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
            log.error(e) { "a task of the control loop threw an exception" }
        }
    }

    private companion object {
        const val MAX_QUEUED_TASKS = 20_000
    }
}
