package io.monsoonpath.app.command

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import io.monsoonpath.app.timeline.EventJson
import io.monsoonpath.model.EventRecord
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletionException

/** What one instance answered, or why it did not. */
internal sealed interface FetchResult {
    /** The instance at [address] answered [text]. */
    data class Success(
        val address: String,
        val text: String,
    ) : FetchResult

    /** The instance at [address] gave no usable answer. */
    data class Failure(
        val address: String,
        val cause: String,
    ) : FetchResult
}

/** Reads [path] from each of [addresses] (`IP:PORT` of the operator port) at the same time. */
internal fun fetchAll(
    addresses: List<String>,
    path: String,
): List<FetchResult> =
    addresses.map { it to client(it).get(path).aggregate() }.map { (address, pending) ->
        try {
            val response = pending.join()
            if (response.status() ==
                HttpStatus.OK
            ) {
                FetchResult.Success(address, response.contentUtf8())
            } else {
                FetchResult.Failure(address, response.status().toString())
            }
        } catch (e: CompletionException) {
            FetchResult.Failure(address, e.cause?.message ?: "no answer")
        }
    }

private fun client(address: String) = WebClient.builder("http://$address").responseTimeoutMillis(FETCH_TIMEOUT_MS).build()

/** Reads all events that each of [addresses] still keeps, page by page. */
internal fun fetchEvents(addresses: List<String>): List<EventRecord> = addresses.flatMap { fetchEventsOf(it) }

private fun fetchEventsOf(address: String): List<EventRecord> {
    val records = mutableListOf<EventRecord>()
    do {
        val after = records.lastOrNull()?.seq ?: 0
        val page = fetchAll(listOf(address), "/events?after=$after").successesReportingFailures().flatMap { parseEvents(address, it.text) }
        records += page
    } while (page.isNotEmpty() && records.size < MAX_EVENTS)
    return records
}

/** Returns the answers as pairs of address and text, and reports each failure on standard error. */
internal fun List<FetchResult>.successesReportingFailures(): List<FetchResult.Success> {
    filterIsInstance<FetchResult.Failure>().forEach { System.err.println("${it.address}: ${it.cause}") }
    return filterIsInstance<FetchResult.Success>()
}

/** Reads event records from JSON lines; lines that cannot be read are counted on standard error, never passed over in silence. */
internal fun parseEvents(
    source: String,
    text: String,
): List<EventRecord> {
    val lines = text.lineSequence().filter { it.isNotBlank() }.toList()
    val records = lines.mapNotNull { parseEventOrNull(it) }
    if (records.size < lines.size) System.err.println("$source: ${lines.size - records.size} lines are not event records")
    return records
}

private fun parseEventOrNull(line: String): EventRecord? =
    try {
        EventJson.decodeFromString(EventRecord.serializer(), line)
    } catch (_: SerializationException) {
        null
    }

/** Splits a list of addresses, or ends the process if one is not `IP:PORT`. */
internal fun parseAddresses(list: String): List<String> {
    val addresses = list.split(',').map { it.trim() }.filter { it.isNotEmpty() }
    addresses.firstOrNull { !ADDRESS_PATTERN.matches(it) }?.let { exitWithError("--instances: $it: must be IP:PORT of an operator port") }
    if (addresses.isEmpty()) exitWithError("--instances: (missing): must name at least one IP:PORT")
    return addresses
}

private const val FETCH_TIMEOUT_MS = 5_000L

/** Bounds the reading of an instance that makes events faster than they are read. */
private const val MAX_EVENTS = 1_000_000
private val ADDRESS_PATTERN = Regex("([0-9.]+|\\[[0-9a-fA-F:]+]):\\d{1,5}")
