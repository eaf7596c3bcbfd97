package io.monsoonpath.app.command

import io.monsoonpath.app.questionnaire.Answers
import io.monsoonpath.app.questionnaire.Console
import io.monsoonpath.app.questionnaire.DialogueEndedException
import io.monsoonpath.app.questionnaire.Plan
import io.monsoonpath.app.questionnaire.askAnswers
import io.monsoonpath.app.questionnaire.toPlan
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.Settings
import io.monsoonpath.model.readDocument
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.io.File

/** Derives a configuration and the settings of all entry instances from the answers to a questionnaire. */
@OptIn(ExperimentalCli::class)
internal class InitCommand : Subcommand("init", "Derive a configuration from a questionnaire") {
    private val answersFile by option(
        ArgType.String,
        fullName = "answers",
        description = "File with the answers in JSON; the questions are asked at the terminal if missing",
    )
    private val output by option(
        ArgType.String,
        fullName = "output",
        shortName = "o",
        description = "Output directory for the documents",
    ).default(".")

    override fun execute() {
        val answers = answersFile?.let { readDocument(readText(it), Answers.serializer()).orExit(it) } ?: ask()
        val plan = answers.toPlan().orExit(answersFile ?: "answers")
        val directory = File(output)
        if (!directory.isDirectory && !directory.mkdirs()) exitWithError("--output: $output: the directory cannot be created")
        plan.documents(answers).forEach { (name, text) -> writeNew(File(directory, name), text) }
        println(plan.reasons)
    }

    private fun ask(): Answers =
        try {
            Terminal.askAnswers()
        } catch (e: DialogueEndedException) {
            exitWithError("init: ${e.message}")
        }

    /** Writes a new document. An existing file is never overwritten because an operator may have edited it. */
    private fun writeNew(
        file: File,
        text: String,
    ) {
        if (file.exists()) exitWithError("$file: already exists; choose another --output")
        writeText(file, text)
        println("wrote $file")
    }
}

/** Returns the contents of all documents of the plan, by file name. */
internal fun Plan.documents(answers: Answers): Map<String, String> {
    val instanceSettings =
        settings.associate {
            "settings-${it.instance}.json" to
                DocumentJson.encodeToString(Settings.serializer(), it) + "\n"
        }
    return instanceSettings +
        mapOf(
            "answers.json" to DocumentJson.encodeToString(Answers.serializer(), answers) + "\n",
            "configuration.json" to configuration.toText(),
            "REASONS.md" to reasons,
        )
}

private object Terminal : Console {
    override fun show(text: String) = println(text)

    override fun askOrNull(prompt: String): String? {
        print(prompt)
        return readlnOrNull()
    }
}
