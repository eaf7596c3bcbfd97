package io.monsoonpath.app.edit

import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DocumentJson
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Returns one line for each value that differs between [before] and [after], such as `$.domains[fd1].out: false -> true`. */
internal fun differences(
    before: Configuration,
    after: Configuration,
): List<String> {
    val lines = mutableListOf<String>()
    collectDifferences("$", before.toJsonTree(), after.toJsonTree(), lines)
    return lines
}

private fun Configuration.toJsonTree() = DocumentJson.encodeToJsonElement(Configuration.serializer(), this)

private fun collectDifferences(
    path: String,
    before: JsonElement?,
    after: JsonElement?,
    lines: MutableList<String>,
) {
    when {
        before == after -> Unit
        before is JsonObject && after is JsonObject -> collectChildren(path, before, after, ".", lines)
        before is JsonArray && after is JsonArray -> collectChildren(path, before.byKey(), after.byKey(), "[", lines)
        else -> lines += "$path: ${before.toDisplayText()} -> ${after.toDisplayText()}"
    }
}

private fun collectChildren(
    path: String,
    before: Map<String, JsonElement>,
    after: Map<String, JsonElement>,
    separator: String,
    lines: MutableList<String>,
) {
    val closing = if (separator == "[") "]" else ""
    for (name in before.keys + after.keys) collectDifferences("$path$separator$name$closing", before[name], after[name], lines)
}

/** Maps each element by its id or path, so that an insertion does not show up as a change of all subsequent elements. */
private fun JsonArray.byKey(): Map<String, JsonElement> =
    withIndex().associate { (i, element) -> (element.keyOrNull() ?: i.toString()) to element }

private fun JsonElement.keyOrNull(): String? =
    when (this) {
        is JsonObject -> ((get("id") ?: get("path")) as? JsonPrimitive)?.content
        is JsonPrimitive -> content
        is JsonArray -> null
    }

private fun JsonElement?.toDisplayText() = this?.toString()?.take(MAX_VALUE_CHARS) ?: "(none)"

private const val MAX_VALUE_CHARS = 120
