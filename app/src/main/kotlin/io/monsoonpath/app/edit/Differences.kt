package io.monsoonpath.app.edit

import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DocumentJson
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Returns a line for each value that differs between [before] and [after], such as `$.domains[fd1].out: false -> true`. */
internal fun differences(
    before: Configuration,
    after: Configuration,
): List<String> {
    val lines = mutableListOf<String>()
    collect("$", before.toTree(), after.toTree(), lines)
    return lines
}

private fun Configuration.toTree() = DocumentJson.encodeToJsonElement(Configuration.serializer(), this)

private fun collect(
    path: String,
    before: JsonElement?,
    after: JsonElement?,
    lines: MutableList<String>,
) {
    when {
        before == after -> Unit
        before is JsonObject && after is JsonObject -> collectFields(path, before, after, ".", lines)
        before is JsonArray && after is JsonArray -> collectFields(path, before.byName(), after.byName(), "[", lines)
        else -> lines += "$path: ${before.asText()} -> ${after.asText()}"
    }
}

private fun collectFields(
    path: String,
    before: Map<String, JsonElement>,
    after: Map<String, JsonElement>,
    separator: String,
    lines: MutableList<String>,
) {
    val end = if (separator == "[") "]" else ""
    for (name in before.keys + after.keys) collect("$path$separator$name$end", before[name], after[name], lines)
}

/** Names the elements of an array by their id or path, so that an insertion is not shown as a change of all that follow. */
private fun JsonArray.byName(): Map<String, JsonElement> =
    withIndex().associate { (i, element) -> (element.idOrNull() ?: i.toString()) to element }

private fun JsonElement.idOrNull(): String? =
    when (this) {
        is JsonObject -> ((get("id") ?: get("path")) as? JsonPrimitive)?.content
        is JsonPrimitive -> content
        is JsonArray -> null
    }

private fun JsonElement?.asText() = this?.toString()?.take(MAX_VALUE_CHARS) ?: "(none)"

private const val MAX_VALUE_CHARS = 120
