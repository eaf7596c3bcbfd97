package io.monsoonpath.app.architecture

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.File
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks in the source which imports and calls each module and package uses. */
class ArchitectureTest {
    private class Source(
        val file: File,
    ) {
        val lines = file.readLines()
        val imports = lines.filter { it.startsWith("import ") }.map { it.removePrefix("import ").substringBefore(" as ") }
    }

    private val root = generateSequence(File("").absoluteFile) { it.parentFile }.first { File(it, ".editorconfig").exists() }

    private fun sources(module: String): List<Source> =
        File(root, "$module/src/main/kotlin")
            .walk()
            .filter { it.extension == "kt" }
            .map { Source(it) }
            .toList()

    @TestFactory
    fun `decision modules use no input, output, thread, wall clock or global random source`(): List<DynamicTest> =
        listOf("model", "coordination", "policy").map { module ->
            dynamicTest(module) {
                val found = sources(module)
                assertTrue(found.isNotEmpty(), "no sources in $module")
                val violations =
                    found.filterNot { it.file.name in CLOCK_FILES }.flatMap { source ->
                        source.findViolations().map { "${source.file.name}: $it" }
                    }
                assertEquals(emptyList(), violations)
            }
        }

    private fun Source.findViolations(): List<String> =
        imports.filter { import -> FORBIDDEN_IMPORTS.any { import.startsWith(it) } } +
            lines.filter { line -> FORBIDDEN_CALLS.any { it.containsMatchIn(line) } }

    @TestFactory
    fun `packages of the app module depend on each other in one direction`(): List<DynamicTest> =
        ALLOWED_DEPENDENCIES.map { (from, allowed) ->
            dynamicTest(from) {
                val used =
                    sources("app")
                        .filter { it.file.parentFile.name == from }
                        .flatMap { source -> source.imports }
                        .filter { it.startsWith(APP_PACKAGE) }
                        .map { it.removePrefix(APP_PACKAGE).substringBefore('.') }
                        .toSet()
                assertEquals(emptySet(), used - allowed - from)
            }
        }

    @TestFactory
    fun `request processing does not import an HTTP library`(): List<DynamicTest> =
        listOf("request", "config", "event").map { name ->
            dynamicTest(name) {
                val found = sources("app").filter { it.file.parentFile.name == name }
                assertTrue(found.isNotEmpty(), "no sources in $name")
                assertEquals(emptyList(), found.flatMap { it.imports }.filter { it.startsWith("com.linecorp") || it.startsWith("io.ktor") })
            }
        }

    private companion object {
        const val APP_PACKAGE = "io.monsoonpath.app."

        /** The file that creates the only clock of the process. */
        val CLOCK_FILES = setOf("ClockMs.kt")

        /** Concurrent counters and maps are allowed because they are data. Classes that start, block or schedule threads are not. */
        val FORBIDDEN_IMPORTS =
            listOf(
                "java.io.",
                "java.net.",
                "java.nio.channels.",
                "java.nio.file.",
                "java.time.",
                "java.util.Timer",
                "kotlinx.coroutines.",
            ) +
                listOf("kotlin.concurrent.", "kotlin.io.path.", "java.security.SecureRandom", "com.linecorp.", "io.ktor.", "io.netty.") +
                listOf(
                    "Exec",
                    "Sched",
                    "Compl",
                    "Future",
                    "Fork",
                    "Thread",
                    "locks.",
                    "CountDown",
                    "Semaphore",
                    "Cyclic",
                    "Phaser",
                    "Exch",
                    "Time",
                ).map { "java.util.concurrent.$it" }

        val FORBIDDEN_CALLS =
            listOf(
                "System\\.(nanoTime|currentTimeMillis)",
                "Thread[.(]",
                "\\bRandom\\.(next|Default)",
                "Math\\.random",
                "\\bThreadLocalRandom",
            ).map { Regex(it) }

        val ALLOWED_DEPENDENCIES =
            mapOf(
                "event" to emptySet(),
                "config" to emptySet(),
                "request" to setOf("config"),
            )
    }
}
