package io.monsoonpath.app.http

import io.netty.channel.EventLoop
import kotlinx.coroutines.CoroutineDispatcher
import kotlin.coroutines.CoroutineContext

/** Runs coroutines on [loop], without a hand-off where the caller is on it already. */
internal class EventLoopDispatcher(
    private val loop: EventLoop,
) : CoroutineDispatcher() {
    override fun isDispatchNeeded(context: CoroutineContext): Boolean = !loop.inEventLoop()

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ): Unit = loop.execute(block)
}
