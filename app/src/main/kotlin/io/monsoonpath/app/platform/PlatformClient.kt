package io.monsoonpath.app.platform

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import io.monsoonpath.coordination.replication.DocumentKind
import io.monsoonpath.coordination.replication.ReadResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/** The header with the newest revision that the platform serves, on answers without a document too. */
internal const val REVISION_HEADER = "x-revision"

/** Reads and watches the documents that the platform publishes, whole or split over several values. */
internal class PlatformClient(
    url: String,
) : AutoCloseable {
    private val client =
        WebClient
            .builder(url)
            .responseTimeoutMillis(0)
            .maxResponseLength(2L * MAX_VALUE_BYTES)
            .build()
    private val running = ConcurrentHashMap.newKeySet<HttpResponse>()
    private val parts = ConcurrentHashMap<PartName, ByteArray>()

    @Volatile
    private var isClosed = false

    /** Reads a document of [kind] newer than [after], for which the platform may wait [waitMs]; never fails exceptionally. */
    fun read(
        kind: DocumentKind,
        after: Long,
        waitMs: Long,
    ): CompletableFuture<ReadResult> =
        get("${pathOf(kind)}?after=$after&waitMs=$waitMs", waitMs + ANSWER_TIMEOUT_MS)
            .thenCompose { answer ->
                when (answer.status()) {
                    HttpStatus.OK -> wholeOf(answer.content().array())
                    HttpStatus.NOT_MODIFIED, HttpStatus.NOT_FOUND ->
                        done(
                            ReadResult.Unchanged(answer.headers().getLong(REVISION_HEADER, 0)),
                        )
                    else -> done(ReadResult.Failed)
                }
            }.exceptionally { ReadResult.Failed }

    /** Ends all reads at once. */
    override fun close() {
        isClosed = true
        running.forEach { it.abort() }
    }

    private fun wholeOf(value: ByteArray): CompletableFuture<ReadResult> {
        val manifest = manifestOrNull(value) ?: return done(ReadResult.Document(value))
        return fetchMissing(manifest.parts).thenApply { isWhole ->
            if (isWhole) ReadResult.Document(join(manifest)) else ReadResult.Failed
        }
    }

    /** Fetches the parts that are not kept, [PARALLEL_PARTS] at a time; returns whether all are there. */
    private fun fetchMissing(names: List<PartName>): CompletableFuture<Boolean> {
        val missing = names.filter { !parts.containsKey(it) }.distinct()
        if (missing.isEmpty()) return CompletableFuture.completedFuture(true)
        return missing
            .take(PARALLEL_PARTS)
            .map { fetchPart(it) }
            .reduce { all, part -> all.thenCombine(part, Boolean::and) }
            .thenCompose { isWhole -> if (isWhole) fetchMissing(names) else CompletableFuture.completedFuture(false) }
    }

    private fun fetchPart(name: PartName): CompletableFuture<Boolean> =
        get("/v1/values/${name.value}", ANSWER_TIMEOUT_MS).thenApply { answer ->
            val content = answer.content().array()
            val isPart = answer.status() == HttpStatus.OK && name.names(content)
            if (isPart) parts[name] = content
            isPart
        }

    private fun join(manifest: PlatformManifest): ByteArray {
        val contents = manifest.parts.map { parts.getValue(it) }
        parts.keys.retainAll(manifest.parts.toSet())
        val whole = ByteArray(contents.sumOf { it.size })
        contents.fold(0) { at, content ->
            content.copyInto(whole, at)
            at + content.size
        }
        return whole
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
        running += response
        if (isClosed) response.abort()
        return response.aggregate().whenComplete { _, _ -> running -= response }
    }

    private fun done(result: ReadResult): CompletableFuture<ReadResult> = CompletableFuture.completedFuture(result)

    private companion object {
        const val ANSWER_TIMEOUT_MS = 1_000L
        const val PARALLEL_PARTS = 4

        fun pathOf(kind: DocumentKind) =
            when (kind) {
                DocumentKind.CONFIGURATION -> "/v1/values/configuration"
                DocumentKind.INSTANCES -> "/v1/instances"
            }
    }
}
