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

/** The program as a process of its own. */
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
    fun `bad settings end the process with code 2 and a line that names the path`(): List<DynamicTest> =
        invalidSettings.map { case ->
            dynamicTest(case.name) {
                val text = settingsText("http://127.0.0.1:1")
                assertTrue(case.old in text, "the case must change the settings")
                val process = serve(text.replaceFirst(case.old, case.new))
                val line = process.errorReader().readLines().single()
                assertEquals(2, process.waitFor(), line)
                assertContains(line, "${case.path}: ")
            }
        }

    @Test
    fun `a signal to stop ends the process with code 0`() {
        StandInPlatform().start().use { platform ->
            platform.publish(demoConfiguration(mapOf("encode" to "http://127.0.0.1:1")))
            val process = serve(settingsText(platform.url))
            val output = process.errorReader()
            while (platform.calls.get() == 0L && process.isAlive) Thread.onSpinWait()
            process.toHandle().destroy()
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), "it did not end")
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
