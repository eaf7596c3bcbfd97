package io.monsoonpath.app.client

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.util.EventLoopGroups
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher

/** Clients with [rejectRepeatedHeads] on one event loop, whose thread has a name that begins with [name]. */
internal class GuardedClients(
    name: String,
) : AutoCloseable {
    private val loops = EventLoopGroups.newEventLoopGroup(1, name)

    val factory: ClientFactory =
        ClientFactory
            .builder()
            .workerGroup(loops, true)
            .rejectRepeatedHeads()
            .build()

    /** Runs on the event loop of the clients, so that a yield lets them go on. */
    val dispatcher: CoroutineDispatcher = loops.next().asCoroutineDispatcher()

    override fun close() = factory.close()
}
