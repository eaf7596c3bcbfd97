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

/** Works out a configuration and the settings of all entry instances from a team's answers. */
@OptIn(ExperimentalCli::class)
internal class InitCommand : Subcommand("init", "Work out a configuration from a questionnaire") {
    private val answersFile by option(
        ArgType.String,
        fullName = "answers",
        description = "Answers in JSON; asked for at the terminal if missing",
    )
    private val output by option(
        ArgType.String,
        fullName = "output",
        shortName = "o",
        description = "Directory for the documents",
    ).default(".")

    override fun execute() {
        val answers = answersFile?.let { readDocument(readText(it), Answers.serializer()).orExit(it) } ?: ask()
        val plan = answers.toPlan().orExit(answersFile ?: "answers")
        val directory = File(output)
        if (!directory.isDirectory && !directory.mkdirs()) exitWithError("$output: cannot be made a directory")
        plan.documents(answers).forEach { (name, text) -> writeNew(File(directory, name), text) }
        println(plan.reasons)
    }

    private fun ask(): Answers =
        try {
            Terminal.askAnswers()
        } catch (e: DialogueEndedException) {
            exitWithError("init: ${e.message}")
        }

    /** Writes a document; one that stands there already, perhaps edited by an operator, is left alone. */
    private fun writeNew(
        file: File,
        text: String,
    ) {
        if (file.exists()) exitWithError("$file: exists already; choose another --output")
        writeText(file, text)
        println("wrote $file")
    }
}

/** Returns the names and texts of all documents of the plan. */
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
