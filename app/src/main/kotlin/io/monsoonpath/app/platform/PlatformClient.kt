package io.monsoonpath.app.platform

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import io.monsoonpath.app.client.GUARDED_CLIENTS
import io.monsoonpath.coordination.replication.DocumentKind
import io.monsoonpath.coordination.replication.ReadResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/** The header with the newest revision that the platform serves. Responses without a document have it too. */
internal const val REVISION_HEADER = "x-revision"

/**
 * Reads the documents that the platform publishes and waits for new revisions.
 *
 * A document is stored as a single value or split over several values.
 */
internal class PlatformClient(
    url: String,
    clientFactory: ClientFactory = GUARDED_CLIENTS,
) : AutoCloseable {
    private val client =
        WebClient
            .builder(url)
            .factory(clientFactory)
            .responseTimeoutMillis(0)
            .maxResponseLength(2L * MAX_VALUE_BYTES)
            .build()
    private val inFlight = ConcurrentHashMap.newKeySet<HttpResponse>()
    private val partCache = ConcurrentHashMap<PartName, ByteArray>()

    @Volatile
    private var isClosed = false

    /**
     * Reads the document of [kind] if its revision is above [after]. The platform may wait up to [waitMs] for one.
     *
     * The returned future never completes exceptionally.
     */
    fun read(
        kind: DocumentKind,
        after: Long,
        waitMs: Long,
    ): CompletableFuture<ReadResult> =
        get("${pathFor(kind)}?after=$after&waitMs=$waitMs", waitMs + RESPONSE_TIMEOUT_MS)
            .thenCompose { response ->
                when (response.status()) {
                    HttpStatus.OK -> resolveDocument(response.content().array())
                    HttpStatus.NOT_MODIFIED, HttpStatus.NOT_FOUND ->
                        completed(
                            ReadResult.Unchanged(response.headers().getLong(REVISION_HEADER, 0)),
                        )
                    else -> completed(ReadResult.Failed)
                }
            }.exceptionally { ReadResult.Failed }

    /** Aborts all reads immediately. */
    override fun close() {
        isClosed = true
        inFlight.forEach { it.abort() }
    }

    private fun resolveDocument(value: ByteArray): CompletableFuture<ReadResult> {
        val manifest = manifestOrNull(value) ?: return completed(ReadResult.Document(value))
        return fetchMissing(manifest.parts).thenApply { isComplete ->
            if (isComplete) ReadResult.Document(join(manifest)) else ReadResult.Failed
        }
    }

    /** Fetches the parts that are not cached, [MAX_PARALLEL_PARTS] at a time. Returns whether all parts are available. */
    private fun fetchMissing(names: List<PartName>): CompletableFuture<Boolean> {
        val missing = names.filter { !partCache.containsKey(it) }.distinct()
        if (missing.isEmpty()) return CompletableFuture.completedFuture(true)
        return missing
            .take(MAX_PARALLEL_PARTS)
            .map { fetchPart(it) }
            .reduce { all, part -> all.thenCombine(part, Boolean::and) }
            .thenCompose { isComplete -> if (isComplete) fetchMissing(names) else CompletableFuture.completedFuture(false) }
    }

    private fun fetchPart(name: PartName): CompletableFuture<Boolean> =
        get("/v1/values/${name.value}", RESPONSE_TIMEOUT_MS).thenApply { response ->
            val content = response.content().array()
            val isValid = response.status() == HttpStatus.OK && name.matches(content)
            if (isValid) partCache[name] = content
            isValid
        }

    private fun join(manifest: PlatformManifest): ByteArray {
        val contents = manifest.parts.map { partCache.getValue(it) }
        partCache.keys.retainAll(manifest.parts.toSet())
        val document = ByteArray(contents.sumOf { it.size })
        contents.fold(0) { offset, content ->
            content.copyInto(document, offset)
            offset + content.size
        }
        return document
    }

    private fun get(
        path: String,
        timeoutMs: Long,
    ): CompletableFuture<AggregatedHttpResponse> {
        val response =
            client
                .prepare()
                .get(path)
                .responseTimeoutMillis(timeoutMs)
                .execute()
        inFlight += response
        if (isClosed) response.abort()
        return response.aggregate().whenComplete { _, _ -> inFlight -= response }
    }

    private fun completed(result: ReadResult): CompletableFuture<ReadResult> = CompletableFuture.completedFuture(result)

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 1_000L
        const val MAX_PARALLEL_PARTS = 4

        fun pathFor(kind: DocumentKind) =
            when (kind) {
                DocumentKind.CONFIGURATION -> "/v1/values/configuration"
                DocumentKind.INSTANCES -> "/v1/instances"
            }
    }
}
