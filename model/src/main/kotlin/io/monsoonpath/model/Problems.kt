package io.monsoonpath.model

/**
 * An error in a document.
 *
 * @property path the path of the invalid value, such as `$.pools[2].kind`
 * @property value the invalid value, possibly truncated; empty if the value is missing
 * @property rule the rule that the value violates
 */
data class Problem(
    val path: String,
    val value: String,
    val rule: String,
) {
    override fun toString(): String = "$path: ${value.ifEmpty { "(missing)" }}: $rule"
}

/** The result of reading and validating a document: the complete document, or all problems that were found. */
sealed interface ValidationResult<out T> {
    /** The document is complete and valid. */
    data class Valid<out T>(
        val document: T,
    ) : ValidationResult<T>

    /** The document is rejected as a whole; [problems] is not empty. */
    data class Invalid(
        val problems: List<Problem>,
    ) : ValidationResult<Nothing>
}

/** Collects the problems found in one document. */
internal class ProblemList {
    private val problems = mutableListOf<Problem>()

    /** Adds a problem at [path] if [condition] is false. */
    fun require(
        condition: Boolean,
        path: String,
        value: Any?,
        rule: String,
    ) {
        if (!condition) problems += Problem(path, value?.toString().orEmpty().take(MAX_VALUE_CHARS), rule)
    }

    /** Adds a problem for each element of [ids] that repeats an earlier element. */
    fun requireDistinct(
        ids: List<Any>,
        path: String,
    ) {
        val seen = HashSet<Any>()
        ids.forEachIndexed { i, id -> require(seen.add(id), "$path[$i]", id, "must be unique") }
    }

    /** Adds a problem if [value] is outside of [range]. */
    fun requireIn(
        value: Long,
        range: LongRange,
        path: String,
    ) = require(value in range, path, value, "must be from ${range.first} to ${range.last}")

    /** Adds a problem if [id] is not a well-formed id. */
    fun requireId(
        id: String,
        path: String,
    ) = require(ID_PATTERN.matches(id), path, id, "must be 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit")

    /** Returns [document] if no problem was added, or all problems otherwise. */
    fun <T> toResult(document: T): ValidationResult<T> =
        if (problems.isEmpty()) ValidationResult.Valid(document) else ValidationResult.Invalid(problems.toList())
}

private const val MAX_VALUE_CHARS = 80
private val ID_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
