package io.monsoonpath.model

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The JSON format of all documents: unknown fields are rejected, and default values are written out. */
@OptIn(ExperimentalSerializationApi::class)
val DocumentJson: Json =
    Json {
        prettyPrint = true
        prettyPrintIndent = "  "
        encodeDefaults = true
        explicitNulls = false
    }

/** Reads and validates the configuration document in [text]. A document with any problem is rejected as a whole. */
fun readConfiguration(text: String): ValidationResult<Configuration> =
    readDocument(text, Configuration.serializer(), Configuration::validate)

/** Reads and validates the settings of an instance in [text]. */
fun readSettings(text: String): ValidationResult<Settings> = readDocument(text, Settings.serializer(), Settings::validate)

/** Reads and validates the instance list in [text]. */
fun readInstanceList(text: String): ValidationResult<InstanceList> = readDocument(text, InstanceList.serializer(), InstanceList::validate)

/**
 * Reads a document of another type from [text] with the same size and nesting limits and the same error messages.
 *
 * The caller has to check the ranges of its values.
 */
fun <T> readDocument(
    text: String,
    serializer: KSerializer<T>,
): ValidationResult<T> = readDocument(text, serializer) { ValidationResult.Valid(it) }

private fun <T> readDocument(
    text: String,
    serializer: KSerializer<T>,
    validate: (T) -> ValidationResult<T>,
): ValidationResult<T> {
    if (text.length > MAX_DOCUMENT_CHARS) return invalid("$", "${text.length} characters", "must have at most $MAX_DOCUMENT_CHARS")
    nestingProblem(text)?.let { return ValidationResult.Invalid(listOf(it)) }
    return try {
        validate(DocumentJson.decodeFromString(serializer, text))
    } catch (e: SerializationException) {
        ValidationResult.Invalid(listOf(e.toProblem()))
    } catch (e: IllegalArgumentException) {
        ValidationResult.Invalid(listOf(e.toProblem()))
    }
}

private fun invalid(
    path: String,
    value: String,
    rule: String,
) = ValidationResult.Invalid(listOf(Problem(path, value, rule)))

/** Returns a problem if [text] is nested too deeply. The check precedes parsing because the parser recurses once per nesting level. */
private fun nestingProblem(text: String): Problem? {
    val tracker = JsonDepthTracker()
    val isTooDeep = text.any { tracker.depthAfter(it) > MAX_DEPTH }
    return if (isTooDeep) Problem("$", "nesting", "must be at most $MAX_DEPTH levels deep") else null
}

/**
 * Converts a parser exception into a problem.
 *
 * The path and the value are extracted from the message; the rule is the first line of the message.
 */
private fun Exception.toProblem(): Problem {
    val message = message.orEmpty()
    val path =
        Regex("at path:? (\\$\\S*)")
            .find(message)
            ?.groupValues
            ?.get(1)
            ?.trimEnd(':', ',', '.') ?: "$"
    val quoted =
        Regex("(?:key|fields?|literal|with name|name) '([^']*)'")
            .find(message)
            ?.groupValues
            ?.get(1)
            .orEmpty()
    val rule =
        message
            .lineSequence()
            .first()
            .substringBefore(" at path")
            .trim()
    return Problem(path, quoted.ifEmpty { "document" }, rule.ifEmpty { "must be valid JSON" })
}

private const val MAX_DOCUMENT_CHARS = 64 * 1_048_576
private const val MAX_DEPTH = 32
