package io.monsoonpath.app.timeline

import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.RequestId
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import java.util.Locale

/** The JSON format of events, each on a single line. */
internal val EventJson =
    Json {
        encodeDefaults = true
        explicitNulls = false
        ignoreUnknownKeys = true
    }

/** Returns the timeline as text: first the dropped events and the number of contradictions, then a line for each event. */
internal fun Timeline.toText(): String =
    buildString {
        dropped.forEach { appendLine("# ${it.process}: events ${it.fromSeq} to ${it.toSeq} were dropped before they could be read") }
        if (contradictions >
            0
        ) {
            appendLine("# $contradictions receipts had to be placed before their sending: the streams contradict each other")
        }
        val width = entries.maxOfOrNull { it.record.instance.value.length } ?: 0
        entries.forEach { appendLine(it.toLine(width)) }
    }

/** Returns the entry as one line, with the name of the instance padded to [width] characters. */
internal fun TimelineEntry.toLine(width: Int = record.instance.value.length): String =
    "%8d ms  %-${width}s %6d  %s".format(Locale.ROOT, commonMs, record.instance, record.seq, record.event.toText())

/** Returns the timeline as JSON lines: one event record per line, in the merged order. */
internal fun Timeline.toJsonLines(): String =
    entries.joinToString("") { EventJson.encodeToString(EventRecord.serializer(), it.record) + "\n" }

/** Returns the kind of the event and its fields, such as `refused request=r1 …`. */
internal fun Event.toText(): String {
    val fields = EventJson.encodeToJsonElement(Event.serializer(), this).jsonObject
    val values = fields.filterKeys { it != KIND_FIELD }.map { (name, value) -> "$name=${value.toPlainText()}" }
    return (listOf(kind(fields)) + values).joinToString(" ")
}

/** Returns the kind of the event, such as `refused`. */
internal fun Event.kind(): String = kind(EventJson.encodeToJsonElement(Event.serializer(), this).jsonObject)

/** Returns the ID of the request that the event concerns, or null if it concerns none. */
internal fun Event.requestOrNull(): RequestId? =
    when (this) {
        is Event.RequestReceived -> request
        is Event.Decided -> request
        is Event.Refused -> request
        is Event.AttemptSent -> request
        is Event.AttemptEnded -> request
        is Event.RequestAnswered -> request
        else -> null
    }

private fun kind(fields: JsonObject) = (fields[KIND_FIELD] as JsonPrimitive).content

private fun JsonElement.toPlainText() = if (this is JsonPrimitive) content else toString()

private const val KIND_FIELD = "type"
