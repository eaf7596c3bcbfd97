package io.monsoonpath.model

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import kotlin.test.assertIs
import kotlin.test.assertTrue

class DocumentsProperties {
    /** The replacement of [length] characters of a text, starting at the fraction [at] (0 to 1) of its length, by [replacement]. */
    class Corruption(
        val at: Double,
        val length: Int,
        val replacement: String,
    ) {
        fun applyTo(text: String): String {
            val start = (at * text.length).toInt()
            return text.replaceRange(start, minOf(text.length, start + length), replacement)
        }
    }

    @Property(tries = 2_000, shrinking = ShrinkingMode.BOUNDED, seed = "1")
    fun `a corrupted configuration is read completely or rejected with problems`(
        @ForAll("corruptions") corruptions: List<Corruption>,
    ) = assertReadOrRejected(corruptions.fold(SAMPLE_CONFIGURATION) { text, corruption -> corruption.applyTo(text) }, ::readConfiguration)

    @Property(tries = 2_000, shrinking = ShrinkingMode.BOUNDED, seed = "2")
    fun `corrupted settings are read completely or rejected with problems`(
        @ForAll("corruptions") corruptions: List<Corruption>,
    ) = assertReadOrRejected(corruptions.fold(SAMPLE_SETTINGS) { text, corruption -> corruption.applyTo(text) }, ::readSettings)

    @Property(tries = 1_000, seed = "3")
    fun `arbitrary text as an instance list is read completely or rejected with problems`(
        @ForAll text: String,
    ) = assertReadOrRejected(text, ::readInstanceList)

    @Provide
    fun corruptions(): Arbitrary<List<Corruption>> {
        val at = Arbitraries.doubles().between(0.0, 0.99)
        val length = Arbitraries.integers().between(0, 12)
        val tokens =
            Arbitraries.of(
                "",
                "0",
                "-1",
                "1e999",
                "9223372036854775808",
                "null",
                "true",
                "\"",
                "{",
                "}",
                "[",
                "]",
                ",",
                ":",
                "\\u0000",
                "\uD800",
                "é",
            )
        val corruption = at.flatMap { a -> length.flatMap { l -> tokens.map { Corruption(a, l, it) } } }
        return corruption.list().ofMinSize(1).ofMaxSize(4)
    }

    private fun <T> assertReadOrRejected(
        text: String,
        read: (String) -> ValidationResult<T>,
    ) {
        val reading = read(text)
        if (reading is ValidationResult.Valid) return
        val problems = assertIs<ValidationResult.Invalid>(reading).problems
        assertTrue(problems.isNotEmpty(), "rejected without any problem: $text")
        assertTrue(problems.all { it.path.startsWith("$") && it.rule.isNotBlank() }, "a problem has no path or no rule: $problems")
    }
}
