package io.monsoonpath.app.demo

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.app.edit.Edit
import io.monsoonpath.app.edit.applyEdit
import io.monsoonpath.app.http.EntryInstance
import io.monsoonpath.app.http.REQUEST_ID_HEADER
import io.monsoonpath.app.standin.StandInBackend
import io.monsoonpath.app.standin.StandInPlatform
import io.monsoonpath.app.standin.demoSettings
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Member
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.WorkspaceId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/** Represents the response that a caller received: a complete answer or a refusal. */
internal sealed interface Reply {
    /** A complete answer with [body]. */
    data class Complete(
        val body: String,
    ) : Reply

    /** A refusal. */
    data class Refused(
        val refusal: Refusal,
    ) : Reply
}

/** Runs three entry instances, their backend servers and a platform in one process, on the loopback address. */
internal class DemoFleet(
    callDurationMs: Long = CALL_DURATION_MS,
) : AutoCloseable {
    private val isolated = ConcurrentHashMap.newKeySet<InstanceId>()
    private val nextId = AtomicInteger()
    private var listRevision = 0L

    /** The backend servers by id. */
    val backends =
        POOLS
            .flatMap { pool -> DOMAINS.map { backendId(pool, it) } }
            .associateWith { StandInBackend(it.value, callDurationMs, COLD_LOAD, CALLS_UNTIL_WARM).start() }

    /** The stand-in for the platform. */
    val platform = StandInPlatform().start()

    /** The entry instances, one in each failure domain. */
    val instances = DOMAINS.indices.map { start(it) }

    /** The most recently published configuration. */
    var configuration: Configuration = firstConfiguration(backends.mapValues { it.value.url })
        private set

    init {
        platform.publish(configuration)
        publishList(instances)
        instances.forEach { it.ready.get(TIMEOUT_MS, TimeUnit.MILLISECONDS) }
        awaitWithin(TIMEOUT_MS, "every instance admits requests") { sendMany(2 * instances.size).all { it is Reply.Complete } }
    }

    private fun start(index: Int): EntryInstance {
        val settings = demoSettings(index + 1, platform.url).copy(failureDomain = FailureDomain(DOMAINS[index]))
        val id = settings.instance
        return EntryInstance(settings, isReachable = { other -> id !in isolated && other !in isolated }).also { it.start() }
    }

    /** Publishes an instance list that contains [members]. */
    fun publishList(members: List<EntryInstance>) {
        val entries =
            members.map {
                val domain = FailureDomain(DOMAINS[instances.indexOf(it)])
                Member(it.id, Endpoint("127.0.0.1", it.coordinator.peerPort), REGION, domain)
            }
        platform.publish(InstanceList(ListRevision(++listRevision), entries))
    }

    /** Applies [edit] to the current configuration, publishes the result and returns it. */
    fun publish(edit: Edit): Configuration {
        configuration =
            when (val edited = configuration.applyEdit(edit)) {
                is ValidationResult.Valid -> edited.document
                is ValidationResult.Invalid -> error("the edit is rejected: ${edited.problems}")
            }
        platform.publish(configuration)
        return configuration
    }

    /** Permanently isolates [instance] from its peers, as if it had been killed. */
    fun isolate(instance: EntryInstance) {
        isolated += instance.id
    }

    /** Sends a request to [instance] and returns the reply. If [id] is not given, a new id is generated. */
    fun send(
        instance: EntryInstance,
        path: String,
        workspace: WorkspaceId?,
        id: String = "d${nextId.incrementAndGet()}",
    ): CompletableFuture<Reply> {
        val headers = RequestHeaders.builder(HttpMethod.POST, path).add(REQUEST_ID_HEADER, id)
        workspace?.let { headers.add(HttpHeaderNames.AUTHORIZATION, "Bearer ${DEMO_KEYS.getValue(it).secret}") }
        val client = WebClient.of("http://127.0.0.1:${instance.callerPort}")
        return client.execute(headers.build(), """{"id":"$id"}""").aggregate().thenApply { it.toReply() }
    }

    /** Sends [count] requests concurrently, distributed over [instances] round-robin, and returns the replies. */
    fun sendMany(
        count: Int,
        path: String = MATCH_PATH,
        workspace: WorkspaceId? = LARGE_WORKSPACE,
        instances: List<EntryInstance> = this.instances,
    ): List<Reply> = (0 until count).map { send(instances[it % instances.size], path, workspace) }.map { it.join() }

    /**
     * Waits until request ids can be claimed. A fleet that has just started does not know which ids were executed before.
     *
     * By then the rate limits, which start without permits, have also filled.
     */
    fun awaitClaims() {
        awaitWithin(TIMEOUT_MS, "orders are taken") { sendMany(2 * instances.size, ORDER_PATH).all { it is Reply.Complete } }
    }

    /** Returns the number of calls that the backend servers in [domain] have received. */
    fun callCountIn(domain: String): Int = backends.filterKeys { it.value.endsWith("-$domain") }.values.sumOf { it.received.size }

    override fun close() {
        instances.parallelStream().forEach { it.close() }
        platform.close()
        backends.values.map { it.stop() }.forEach { it.join() }
    }

    private fun AggregatedHttpResponse.toReply(): Reply =
        if (status() == HttpStatus.OK) {
            Reply.Complete(contentUtf8())
        } else {
            Reply.Refused(DocumentJson.decodeFromString(Refusal.serializer(), contentUtf8()))
        }

    private companion object {
        const val CALL_DURATION_MS = 5L
        const val CALLS_UNTIL_WARM = 3
        const val TIMEOUT_MS = 20_000L
    }
}

/**
 * Waits until [condition] holds.
 *
 * @return the time waited, in milliseconds
 * @throws TimeoutException if [condition] does not hold within [timeoutMs] milliseconds
 */
internal fun awaitWithin(
    timeoutMs: Long,
    description: String,
    condition: () -> Boolean,
): Long {
    val startNs = System.nanoTime()
    while (true) {
        val elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs)
        if (condition()) return elapsedMs
        if (elapsedMs >= timeoutMs) throw TimeoutException("not within $timeoutMs ms: $description")
        LockSupport.parkNanos(POLL_NS)
    }
}

private const val POLL_NS = 2_000_000L
