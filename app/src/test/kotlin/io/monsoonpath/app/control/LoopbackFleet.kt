package io.monsoonpath.app.control

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.app.http.EntryInstance
import io.monsoonpath.app.standin.DEMO_KEY
import io.monsoonpath.app.standin.StandInBackend
import io.monsoonpath.app.standin.StandInPlatform
import io.monsoonpath.app.standin.demoConfiguration
import io.monsoonpath.app.standin.demoInstances
import io.monsoonpath.app.standin.demoSettings
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.InstanceId
import java.util.concurrent.ConcurrentHashMap

/** A fleet of entry instances on the loopback address. Each instance has its own platform, which can fail independently. */
internal class LoopbackFleet(
    size: Int = 3,
) : AutoCloseable {
    private val backend = StandInBackend("encode", delayMs = 0).start()
    private val partitioned = ConcurrentHashMap.newKeySet<InstanceId>()
    private val addresses = LinkedHashMap<InstanceId, Int>()
    private var listRevision = 0L

    val platforms = (1..size).map { StandInPlatform().start() }
    val instances = (1..size).map { start(it) }.toMutableList()
    var configuration = demoConfiguration(mapOf("encode" to backend.url))
        private set

    /** Starts a new process of instance [number] on a new port. Call [publishList] to publish its address. */
    fun start(number: Int): EntryInstance {
        val id = InstanceId("e$number")
        val settings = demoSettings(number, platforms[number - 1].url)
        val instance = EntryInstance(settings, isReachable = { other -> id !in partitioned && other !in partitioned })
        instance.start()
        addresses[id] = instance.coordinator.peerPort
        return instance
    }

    /** Publishes a new revision of the instance list with all instances that have been started. */
    fun publishList() {
        val list = demoInstances(++listRevision, addresses)
        platforms.forEach { it.publish(list) }
    }

    /** Publishes the result of applying [change] to the latest configuration on the platforms [at], and returns its revision. */
    fun publish(
        at: List<StandInPlatform> = platforms,
        change: (Configuration) -> Configuration = { it },
    ): Long {
        configuration = change(configuration).copy(revision = ConfigRevision(configuration.revision.value + 1))
        at.forEach { it.publish(configuration) }
        return configuration.revision.value
    }

    /** Partitions [instance] from its peers, or reconnects it. */
    fun setPartitioned(
        instance: EntryInstance,
        isPartitioned: Boolean,
    ) {
        if (isPartitioned) partitioned += instance.id else partitioned -= instance.id
    }

    /** Sends a request with the demo key to [instance]. */
    fun request(instance: EntryInstance): AggregatedHttpResponse {
        val headers = RequestHeaders.of(HttpMethod.POST, "/v1/match", HttpHeaderNames.AUTHORIZATION, "Bearer $DEMO_KEY")
        return WebClient
            .of("http://127.0.0.1:${instance.callerPort}")
            .execute(headers, "{}")
            .aggregate()
            .join()
    }

    override fun close() {
        (instances.map { it as AutoCloseable } + platforms + backend).parallelStream().forEach { it.close() }
    }
}
