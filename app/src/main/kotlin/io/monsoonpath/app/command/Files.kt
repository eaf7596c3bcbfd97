package io.monsoonpath.app.command

import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.Settings
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.readConfiguration
import io.monsoonpath.model.readSettings
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

/** The exit code for invalid arguments, settings or documents. */
internal const val EXIT_BAD_INPUT = 2

/** Reads settings from [file], or prints one line for each problem and exits with [EXIT_BAD_INPUT]. */
internal fun loadSettings(file: String): Settings = readSettings(readText(file)).orExit(file)

/** Reads a configuration from [file], or prints one line for each problem and exits with [EXIT_BAD_INPUT]. */
internal fun loadConfiguration(file: String): Configuration = readConfiguration(readText(file)).orExit(file)

/** Returns the text of [file], or exits with [EXIT_BAD_INPUT] if it cannot be read. */
internal fun readText(file: String): String =
    try {
        File(file).readText()
    } catch (e: IOException) {
        exitWithError("$file: cannot be read: ${e.message}")
    }

/** Writes [text] to [file], or exits with [EXIT_BAD_INPUT] if it cannot be written. */
internal fun writeText(
    file: File,
    text: String,
) = try {
    file.writeText(text)
} catch (e: IOException) {
    exitWithError("$file: cannot be written: ${e.message}")
}

/** Returns the valid document, or prints one line for each problem, prefixed with [source], and exits with [EXIT_BAD_INPUT]. */
internal fun <T> ValidationResult<T>.orExit(source: String): T =
    when (this) {
        is ValidationResult.Valid -> document
        is ValidationResult.Invalid -> exitWithError(problems.joinToString("\n") { "$source: $it" })
    }

/** Returns the configuration as JSON text in the form in which it is published. */
internal fun Configuration.toText(): String = DocumentJson.encodeToString(Configuration.serializer(), this) + "\n"

/** Prints [message] to standard error and exits with [EXIT_BAD_INPUT]. */
internal fun exitWithError(message: String): Nothing {
    System.err.println(message)
    exitProcess(EXIT_BAD_INPUT)
}
