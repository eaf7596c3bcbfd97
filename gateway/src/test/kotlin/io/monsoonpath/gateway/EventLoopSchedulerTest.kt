package io.monsoonpath.gateway

import io.monsoonpath.gateway.log.DecisionLog
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.assertTrue

/** An error in one round of a repeated action ended all later rounds without a word. */
class EventLoopSchedulerTest {
    @TestFactory
    fun `a repeated action continues after it has thrown`() =
        listOf(IllegalStateException("exception"), StackOverflowError("error")).map { thrown ->
            DynamicTest.dynamicTest(thrown::class.simpleName) {
                val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                try {
                    val rounds = CountDownLatch(3)
                    EventLoopScheduler(group.next() as EventLoop, DecisionLog(ByteArrayOutputStream())).scheduleRepeatedly(1) {
                        rounds.countDown()
                        throw thrown
                    }
                    assertTrue(rounds.await(TIMEOUT_S, TimeUnit.SECONDS), "${rounds.count} rounds are missing")
                } finally {
                    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                }
            }
        }

    private companion object {
        const val TIMEOUT_S = 10L
    }
}
