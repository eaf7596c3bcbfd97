package io.monsoonpath.app.command

import kotlin.test.Test
import kotlin.test.assertEquals

class DemoTest {
    @Test
    fun `the demonstration keeps every guarantee`() {
        assertEquals(emptyList(), runDemo())
    }
}
