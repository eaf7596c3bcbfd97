package io.monsoonpath.app.command

import io.monsoonpath.app.standin.StandInPlatform
import io.monsoonpath.app.standin.demoConfiguration
import io.monsoonpath.app.standin.demoSettings
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.Settings
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs the program as a separate process. */
class ServeTest {
    private class InvalidSettings(
        val name: String,
        val old: String,
        val new: String,
        val path: String,
    )

    private val invalidSettings =
        listOf(
            InvalidSettings("an unknown field", "\"region\"", "\"regoin\"", "$"),
            InvalidSettings("a port out of range", "\"port\": 0", "\"port\": 70000", "$.caller.port"),
            InvalidSettings("a wrong unit", "\"shutdownGraceMs\"", "\"shutdownGraceS\"", "$.timing"),
        )

    @TestFactory
    fun `invalid settings end the process with code 2 and one line with the path of the field`(): List<DynamicTest> =
        invalidSettings.map { case ->
            dynamicTest(case.name) {
                val text = settingsText("http://127.0.0.1:1")
                assertTrue(case.old in text, "the settings do not contain the text that the case replaces")
                val process = serve(text.replaceFirst(case.old, case.new))
                val line = process.errorReader().readLines().single()
                assertEquals(2, process.waitFor(), line)
                assertContains(line, "${case.path}: ")
            }
        }

    @Test
    fun `the process exits with code 0 after a stop signal`() {
        StandInPlatform().start().use { platform ->
            platform.publish(demoConfiguration(mapOf("encode" to "http://127.0.0.1:1")))
            val process = serve(settingsText(platform.url))
            val output = process.errorReader()
            while (platform.calls.get() == 0L && process.isAlive) Thread.onSpinWait()
            process.toHandle().destroy()
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process did not exit within 20 s of the stop signal")
            assertEquals(0, process.exitValue(), output.readText())
        }
    }

    private fun settingsText(platformUrl: String) = DocumentJson.encodeToString(Settings.serializer(), demoSettings(1, platformUrl))

    private fun serve(settings: String): Process {
        val file = File.createTempFile("settings", ".json")
        file.deleteOnExit()
        file.writeText(settings)
        val java = File(System.getProperty("java.home"), "bin/java").path
        val classpath = System.getProperty("java.class.path")
        return ProcessBuilder(java, "-cp", classpath, "io.monsoonpath.app.MainKt", "serve", "--settings", file.path).start()
    }
}
