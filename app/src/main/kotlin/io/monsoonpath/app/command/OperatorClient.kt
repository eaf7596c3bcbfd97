package io.monsoonpath.app.command

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import io.monsoonpath.app.client.GUARDED_CLIENTS
import io.monsoonpath.app.timeline.EventJson
import io.monsoonpath.model.EventRecord
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletionException

/** The result of a request to the operator port of one instance. */
internal sealed interface FetchResult {
    /** The instance at [address] responded with the body [text]. */
    data class Success(
        val address: String,
        val text: String,
    ) : FetchResult

    /** The instance at [address] did not respond with status 200; [cause] says why. */
    data class Failure(
        val address: String,
        val cause: String,
    ) : FetchResult
}

/** Fetches [path] from each of [addresses] (`IP:PORT` of the operator port) in parallel. */
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
            FetchResult.Failure(address, e.cause?.message ?: "no response")
        }
    }

private fun client(address: String) =
    WebClient
        .builder("http://$address")
        .factory(GUARDED_CLIENTS)
        .responseTimeoutMillis(FETCH_TIMEOUT_MS)
        .build()

/** Fetches all events that the instances at [addresses] still retain, page by page. */
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

/** Returns the successful results and prints each failure to standard error. */
internal fun List<FetchResult>.successesReportingFailures(): List<FetchResult.Success> {
    filterIsInstance<FetchResult.Failure>().forEach { System.err.println("${it.address}: ${it.cause}") }
    return filterIsInstance<FetchResult.Success>()
}

/** Parses event records from JSON lines in [text] and prints the number of invalid lines, if any, to standard error. */
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

/** Returns the addresses in a comma-separated [list] of `IP:PORT`, or exits with [EXIT_BAD_INPUT] if it is empty or invalid. */
internal fun parseAddresses(list: String): List<String> {
    val addresses = list.split(',').map { it.trim() }.filter { it.isNotEmpty() }
    addresses.firstOrNull { !ADDRESS_PATTERN.matches(it) }?.let { exitWithError("--instances: $it: must be IP:PORT of an operator port") }
    if (addresses.isEmpty()) exitWithError("--instances: (missing): must name at least one IP:PORT")
    return addresses
}

private const val FETCH_TIMEOUT_MS = 5_000L

/** The number of events after which a fetch stops, because an instance may emit events faster than they can be fetched. */
private const val MAX_EVENTS = 1_000_000
private val ADDRESS_PATTERN = Regex("([0-9.]+|\\[[0-9a-fA-F:]+]):\\d{1,5}")
