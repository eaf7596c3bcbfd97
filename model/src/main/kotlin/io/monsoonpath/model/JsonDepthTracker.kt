package io.monsoonpath.model

/** Follows the nesting of a JSON text character by character, so that it can be bounded before a parser recurses once a level. */
class JsonDepthTracker {
    private var depth = 0
    private var inString = false
    private var escaped = false

    /** Returns how many objects and arrays are open after [c]. */
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
