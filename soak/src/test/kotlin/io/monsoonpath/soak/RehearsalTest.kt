package io.monsoonpath.soak

import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RehearsalTest {
    private val jar = File(System.getProperty("monsoonpath.root"), "target/monsoonpath-platform.jar").path

    /** Runs the program with [arguments] and returns its output, which must be that of a success. */
    private fun run(vararg arguments: String): String {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val process = ProcessBuilder(listOf(java, "-XX:+UseSerialGC") + arguments).redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText()
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process did not end")
        assertEquals(0, process.exitValue(), output)
        return output
    }

    @Test
    fun `a rehearsal writes an archive of classes with which the program starts`(
        @TempDir folder: File,
    ) {
        val archive = File(folder, "classes.jsa")
        run("-XX:ArchiveClassesAtExit=$archive", "-Xlog:cds=off", "-jar", jar, "rehearse")
        val settings = File(folder, "settings.conf").apply { writeText(SETTINGS) }
        // With -Xshare:on, the JVM fails if it can't use the archive.
        val loaded = run("-XX:SharedArchiveFile=$archive", "-Xshare:on", "-Xlog:class+load", "-jar", jar, "check", settings.path)
        assertTrue(
            loaded.lineSequence().any { "monsoonpath.platform" in it && "shared objects file" in it },
            "no class is from the archive",
        )
        run("-XX:SharedArchiveFile=$folder/missing.jsa", "-jar", jar, "check", settings.path)
    }

    private companion object {
        const val TIMEOUT_S = 90L
        const val SETTINGS =
            "node=n\nip=127.0.0.1\nzone=z\nlisten.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\ninternal_ports=3,5\n" +
                "platform.address=127.0.0.1:4\nbounds.grace_s=8\nbounds.budget_ratio=0.2\nbounds.budget_slack=52\n" +
                "bounds.cold_overage=1.5\nbounds.cold_slack=5\n"
    }
}
