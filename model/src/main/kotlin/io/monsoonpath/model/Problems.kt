package io.monsoonpath.model

/**
 * A fault in a document.
 *
 * @property path where it stands, such as `$.pools[2].kind`
 * @property value what stands there, shortened; empty where nothing does
 * @property rule what must hold there
 */
data class Problem(
    val path: String,
    val value: String,
    val rule: String,
) {
    override fun toString(): String = "$path: ${value.ifEmpty { "(missing)" }}: $rule"
}

/** The result of reading a document: the whole document, or everything that is wrong with it. */
sealed interface ValidationResult<out T> {
    /** The document is whole and valid. */
    data class Valid<out T>(
        val document: T,
    ) : ValidationResult<T>

    /** The document is rejected whole; [problems] is not empty. */
    data class Invalid(
        val problems: List<Problem>,
    ) : ValidationResult<Nothing>
}

/** Collects the problems of one document. */
internal class ProblemList {
    private val problems = mutableListOf<Problem>()

    /** Notes a problem at [path] unless [condition]. */
    fun require(
        condition: Boolean,
        path: String,
        value: Any?,
        rule: String,
    ) {
        if (!condition) problems += Problem(path, value?.toString().orEmpty().take(MAX_VALUE_CHARS), rule)
    }

    /** Notes a problem for each element of [ids] that stands there more than once. */
    fun requireDistinct(
        ids: List<Any>,
        path: String,
    ) {
        val seen = HashSet<Any>()
        ids.forEachIndexed { i, id -> require(seen.add(id), "$path[$i]", id, "must be unique") }
    }

    /** Notes a problem unless [value] lies in [range]. */
    fun requireIn(
        value: Long,
        range: LongRange,
        path: String,
    ) = require(value in range, path, value, "must lie from ${range.first} to ${range.last}")

    /** Notes a problem unless [id] is a well-formed id. */
    fun requireId(
        id: String,
        path: String,
    ) = require(ID_PATTERN.matches(id), path, id, "must be 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit")

    /** Returns [document] if nothing was noted, else all problems. */
    fun <T> toResult(document: T): ValidationResult<T> =
        if (problems.isEmpty()) ValidationResult.Valid(document) else ValidationResult.Invalid(problems.toList())
}

private const val MAX_VALUE_CHARS = 80
private val ID_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
