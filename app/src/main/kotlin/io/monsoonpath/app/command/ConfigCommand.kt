package io.monsoonpath.app.command

import io.monsoonpath.app.edit.Edit
import io.monsoonpath.app.edit.applyEdit
import io.monsoonpath.app.edit.differences
import io.monsoonpath.app.edit.issueKey
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.WorkspaceId
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.io.File
import java.security.SecureRandom

/** Edits configuration documents. The platform publishes them. */
@OptIn(ExperimentalCli::class)
internal class ConfigCommand : Subcommand("config", "Edit a configuration document") {
    init {
        subcommands(
            CommandGroup("key", "Issue or withdraw keys", KeyIssueCommand(), KeyWithdrawCommand()),
            CommandGroup(
                "domain",
                "Take failure domains out of service or back in",
                editCommand(
                    "out",
                    "Take a failure domain out of service",
                    "failure domain",
                ) { Edit.SetDomainOut(FailureDomain(it), out = true) },
                editCommand(
                    "in",
                    "Take a failure domain back into service",
                    "failure domain",
                ) { Edit.SetDomainOut(FailureDomain(it), out = false) },
            ),
            CommandGroup(
                "instance",
                "Take entry instances out of service or back in",
                editCommand("out", "Take an entry instance out of service", "instance") { Edit.SetInstanceOut(InstanceId(it), out = true) },
                editCommand(
                    "in",
                    "Take an entry instance back into service",
                    "instance",
                ) { Edit.SetInstanceOut(InstanceId(it), out = false) },
            ),
            CommandGroup(
                "backend",
                "Take backend servers out of service or back in",
                editCommand(
                    "leave",
                    "Mark a backend server as leaving",
                    "backend",
                ) { Edit.SetBackendLeaving(BackendId(it), leaving = true) },
                editCommand(
                    "return",
                    "Mark a backend server as no longer leaving",
                    "backend",
                ) { Edit.SetBackendLeaving(BackendId(it), leaving = false) },
            ),
            CommandGroup("workspace", "Add or change workspaces", WorkspaceSetCommand()),
            DiffCommand(),
        )
    }

    override fun execute() = Unit
}

/** A command that groups subcommands and does nothing itself. */
@OptIn(ExperimentalCli::class)
private class CommandGroup(
    name: String,
    description: String,
    vararg commands: Subcommand,
) : Subcommand(name, description) {
    init {
        commands.forEach { subcommands(it) }
    }

    override fun execute() = Unit
}

/** A command that applies one edit to a configuration and prints the new document or writes it to a file. */
@OptIn(ExperimentalCli::class)
private abstract class EditCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    protected val file by argument(ArgType.String, description = "Configuration file in JSON")
    private val output by option(
        ArgType.String,
        fullName = "output",
        shortName = "o",
        description = "Output file, standard output if missing",
    )
    private val force by option(
        ArgType.Boolean,
        fullName = "force",
        description = "Accept an edit that takes the last one out of service",
    ).default(false)

    protected fun applyAndWrite(edit: Edit) {
        val text = loadConfiguration(file).applyEdit(edit, force).orExit(file).toText()
        output?.let { writeText(File(it), text) } ?: print(text)
    }
}

@OptIn(ExperimentalCli::class)
private fun editCommand(
    name: String,
    description: String,
    subject: String,
    edit: (String) -> Edit,
): Subcommand =
    object : EditCommand(name, description) {
        private val id by argument(ArgType.String, fullName = subject.replace(' ', '-'), description = "ID of the $subject")

        override fun execute() = applyAndWrite(edit(id))
    }

@OptIn(ExperimentalCli::class)
private class KeyIssueCommand : EditCommand("issue", "Issue a key; it is printed once, to standard error") {
    private val workspace by argument(ArgType.String, description = "ID of the workspace that the key belongs to")

    override fun execute() {
        val key = issueKey(WorkspaceId(workspace), SecureRandom())
        applyAndWrite(Edit.IssueKey(key.spec))
        System.err.println("Key ${key.spec.id} of workspace $workspace, shown only here: ${key.secret}")
    }
}

@OptIn(ExperimentalCli::class)
private class KeyWithdrawCommand : EditCommand("withdraw", "Withdraw a key") {
    private val key by argument(ArgType.String, description = "ID of the key")

    override fun execute() = applyAndWrite(Edit.WithdrawKey(KeyId(key)))
}

@OptIn(ExperimentalCli::class)
private class WorkspaceSetCommand : EditCommand("set", "Add or change a workspace") {
    private val workspace by argument(ArgType.String, description = "ID of the workspace")
    private val rateMilliPerS by option(ArgType.Int, fullName = "rateMilliPerS", description = "Requests per 1,000 seconds")
    private val burst by option(ArgType.Int, fullName = "burst", description = "Maximum number of requests in a burst")
    private val weight by option(ArgType.Int, fullName = "weight", description = "Relative share of contended capacity")
    private val priority by option(ArgType.Int, fullName = "priority", description = "Priority from 0 (highest) to 9 (lowest)")
    private val maxRunning by option(ArgType.Int, fullName = "maxRunning", description = "Maximum number of concurrently running requests")

    override fun execute() =
        applyAndWrite(Edit.SetWorkspace(WorkspaceId(workspace), rateMilliPerS?.toLong(), burst, weight, priority, maxRunning))
}

@OptIn(ExperimentalCli::class)
private class DiffCommand : Subcommand("diff", "Print the differences between two configuration documents") {
    private val before by argument(ArgType.String, description = "The older document")
    private val after by argument(ArgType.String, description = "The newer document")

    override fun execute() {
        val lines = differences(loadConfiguration(before), loadConfiguration(after))
        if (lines.isEmpty()) println("No differences.")
        lines.forEach(::println)
    }
}
