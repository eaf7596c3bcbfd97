package io.monsoonpath.model

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** Guards against ids of thousands of characters that are kept for each part of a prompt. */
class PromptPartIdTest {
    @TestFactory
    fun `ids of any length are kept apart, and none is long`() =
        listOf("", "5c1e07a2", "p".repeat(64), "p".repeat(65), "p".repeat(15_000), "\u00e4".repeat(65)).map { text ->
            DynamicTest.dynamicTest("${text.length} characters") {
                val id = PromptPartId.of(text)
                assertEquals(id, PromptPartId.of(text))
                assertNotEquals(id, PromptPartId.of("x" + text.drop(1)))
                assertEquals(minOf(text.length, 64), id.value.length)
                if (text.length <= 64) assertEquals(text, id.value)
            }
        }
}
