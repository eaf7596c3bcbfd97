package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServerBuilder
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.monsoonpath.app.event.EventLog
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.EventRecord
import kotlinx.serialization.json.Json

/** Adds the routes for health checks, metrics, status and events to a server for operators. */
internal fun ServerBuilder.operatorRoutes(
    isReady: () -> Boolean,
    events: EventLog,
    registry: PrometheusMeterRegistry,
    status: () -> InstanceStatus,
): ServerBuilder =
    service("/healthz") { _, _ -> HttpResponse.of(HttpStatus.OK) }
        .service("/readyz") { _, _ -> HttpResponse.of(if (isReady()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE) }
        .service("/metrics") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, registry.scrape()) }
        .service("/status") { _, _ -> json(DocumentJson.encodeToString(InstanceStatus.serializer(), status())) }
        .service("/events") { ctx, _ ->
            eventLines(
                events,
                after = ctx.queryParam("after")?.toLongOrNull() ?: 0,
                limit = ctx.queryParam("limit")?.toIntOrNull()?.coerceIn(1, MAX_EVENTS) ?: MAX_EVENTS,
            )
        }

private fun eventLines(
    events: EventLog,
    after: Long,
    limit: Int,
): HttpResponse {
    val dropped = events.dropped
    val lines = events.after(after, limit).joinToString("") { Json.encodeToString(EventRecord.serializer(), it) + "\n" }
    val head =
        ResponseHeaders
            .builder(HttpStatus.OK)
            .contentType(MediaType.JSON_LINES)
            .addLong(EVENTS_DROPPED_HEADER, dropped)
            .build()
    return HttpResponse.of(head, HttpData.ofUtf8(lines))
}

private fun json(text: String) = HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, text)

/** The header with the number of events that were dropped and can no longer be read. */
internal const val EVENTS_DROPPED_HEADER = "x-events-dropped"
private const val MAX_EVENTS = 4_096
