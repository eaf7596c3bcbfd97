package io.monsoonpath.app.http

import io.netty.channel.EventLoop
import kotlinx.coroutines.CoroutineDispatcher
import kotlin.coroutines.CoroutineContext

/** Runs coroutines on [loop], without a dispatch if the current thread is already that of the event loop. */
internal class EventLoopDispatcher(
    private val loop: EventLoop,
) : CoroutineDispatcher() {
    override fun isDispatchNeeded(context: CoroutineContext): Boolean = !loop.inEventLoop()

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ): Unit = loop.execute(block)
}
