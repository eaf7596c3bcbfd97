package io.monsoonpath.model

/**
 * Tracks the nesting depth of a JSON text character by character.
 *
 * This allows limiting the depth before parsing, because the parser recurses once per nesting level.
 */
class JsonDepthTracker {
    private var depth = 0
    private var inString = false
    private var escaped = false

    /** Whether an object, an array or a string is open, so that the text can't end here. */
    val isOpen: Boolean get() = depth > 0 || inString

    /** Consumes [c] and returns the number of objects and arrays that are open after it. */
    fun depthAfter(c: Char): Int {
        when {
            escaped -> escaped = false
            inString && c == '\\' -> escaped = true
            c == '"' -> inString = !inString
            inString -> Unit
            c == '{' || c == '[' -> depth++
            c == '}' || c == ']' -> depth--
        }
        return depth
    }
}
