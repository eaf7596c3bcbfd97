package io.monsoonpath.app.questionnaire

import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.StageKind

/** Shows questions to the user and reads the answers. */
internal interface Console {
    /** Shows [text] on a separate line. */
    fun show(text: String)

    /** Shows [prompt] and returns the answer, or null at the end of the input. */
    fun askOrNull(prompt: String): String?
}

/** Thrown when the input ends before [question] is answered. */
internal class DialogueEndedException(
    question: String,
) : Exception("input ended at the question: $question")

/**
 * Asks all questions and returns the answers. Each question is repeated until its answer is valid.
 *
 * @throws DialogueEndedException if the input ends before all questions are answered
 */
internal fun Console.askAnswers(): Answers {
    val name = ask("What is the name of the deployment?") { it }
    val regions = askRegions()
    val domains = regions.flatMap { it.domains }
    val platformUrl = ask("What is the URL of the platform's configuration service (http://IP:PORT)?") { URL.requireMatch(it) }
    val instances = askList("How many entry instances are there?") { askInstance(it, domains) }
    val pools = askList("How many pools of backend servers are there?") { askPool(it, domains) }
    val pipelines = askList("How many pipelines are there?") { askPipeline(it, pools) }
    val workspaces = askList("How many workspaces are there?") { askWorkspace(it) }
    return Answers(name, regions, platformUrl, instances, pools, pipelines, workspaces)
}

/**
 * Asks [question] until [parse] accepts the answer.
 *
 * If [parse] throws an [IllegalArgumentException], its message is shown and the question is asked again.
 */
private fun <T> Console.ask(
    question: String,
    parse: (String) -> T,
): T {
    while (true) {
        val answer = askOrNull("$question ")?.trim() ?: throw DialogueEndedException(question)
        try {
            require(answer.isNotEmpty()) { "must not be empty" }
            return parse(answer)
        } catch (e: IllegalArgumentException) {
            show("  '$answer': ${e.message}")
        }
    }
}

private fun <T> Console.askList(
    question: String,
    askOne: (Int) -> T,
): List<T> = (1..askNumber(question, 1..MAX_COUNT)).map { askOne(it) }

private fun Console.askNumber(
    question: String,
    range: IntRange,
): Int =
    ask("$question (${range.first}-${range.last})") { answer ->
        val number = requireNotNull(answer.toIntOrNull()) { "must be a whole number" }
        number.also { require(it in range) { "must be from ${range.first} to ${range.last}" } }
    }

private fun Console.askYesNo(question: String): Boolean =
    ask("$question (yes/no)") { answer ->
        require(answer == "yes" || answer == "no") { "must be yes or no" }
        answer == "yes"
    }

private fun Console.askId(question: String): String = ask(question) { ID.requireMatch(it) }

private fun Console.askChoice(
    question: String,
    choices: List<String>,
): String =
    ask("$question (${choices.joinToString(", ")})") { answer ->
        answer.also { require(it in choices) { "must be one of ${choices.joinToString(", ")}" } }
    }

private fun Console.askRegions(): List<RegionAnswer> =
    askList("How many regions are there?") { i ->
        val region = askId("Region $i: what is its name?")
        RegionAnswer(
            region,
            ask("Region $region: its failure domains, separated by commas?") { list -> list.split(',').map { ID.requireMatch(it.trim()) } },
        )
    }

private fun Console.askInstance(
    number: Int,
    domains: List<String>,
): InstanceAnswer {
    val id = askId("Entry instance $number: its id?")
    val domain = askChoice("Entry instance $id: its failure domain?", domains)
    val address = askAddress("Entry instance $id: its IP address and the first of its three ports (IP:PORT)?")
    return InstanceAnswer(id, domain, address.host, address.port)
}

private fun Console.askPool(
    number: Int,
    domains: List<String>,
): PoolAnswer {
    val name = askId("Pool $number: its id?")
    val kind = StageKind.valueOf(askChoice("Pool $name: its kind?", StageKind.entries.map { it.name.lowercase() }).uppercase())
    val models =
        if (kind ==
            StageKind.GENERATE
        ) {
            ask("Pool $name: its models (name:sizeMb, separated by commas)?") { it.split(',') }
        } else {
            emptyList()
        }
    val warmConcurrency = askNumber("Pool $name: how many concurrent requests can one warm server process?", 1..MAX_CONCURRENCY)
    val coldConcurrency = askNumber("Pool $name: how many concurrent requests can one server process in a cold start?", 1..warmConcurrency)
    val checksFencing = kind == StageKind.GENERATE && askYesNo("Pool $name: do its engines reject orders with an outdated fencing number?")
    val servers = askList("Pool $name: how many servers does it have?") { askServer("$name-$it", domains) }
    return PoolAnswer(name, kind, models, warmConcurrency, coldConcurrency, checksFencing, servers)
}

private fun Console.askServer(
    id: String,
    domains: List<String>,
) = ServerAnswer(id, askChoice("Server $id: its failure domain?", domains), askAddress("Server $id: its address (IP:PORT)?"))

private fun Console.askPipeline(
    number: Int,
    pools: List<PoolAnswer>,
): PipelineAnswer {
    val name = askId("Pipeline $number: its id?")
    val path = ask("Pipeline $name: its request path?") { answer -> answer.also { require(it.startsWith("/")) { "must start with /" } } }
    val deadlineMs = askNumber("Pipeline $name: its deadline in ms?", 1..MAX_DEADLINE_MS).toLong()
    val peakPerS =
        ask("Pipeline $name: requests per second at peak load?") {
            requireNotNull(
                it.toDoubleOrNull()?.takeIf { n ->
                    n > 0
                },
            ) { "must be a number greater than 0" }
        }
    val open = askYesNo("Pipeline $name: is it open to callers without a key?")
    val stageCount = askNumber("Pipeline $name: how many stages?", 1..MAX_STAGES)
    return PipelineAnswer(name, path, deadlineMs, peakPerS, open, (1..stageCount).map { askStage(it, pools) })
}

private fun Console.askStage(
    number: Int,
    pools: List<PoolAnswer>,
): StageAnswer {
    val name = askId("  Stage $number: its id?")
    val pool = askChoice("  Stage $name: its pool?", pools.map { it.name })
    val path = ask("  Stage $name: the path of the call?") { answer -> answer.also { require(it.startsWith("/")) { "must start with /" } } }
    val expectedMs = askNumber("  Stage $name: its expected duration in ms?", 1..MAX_DEADLINE_MS).toLong()
    val models = pools.first { it.name == pool }.models.map { it.substringBefore(':') }
    val model = if (models.isEmpty()) null else askChoice("  Stage $name: its model?", models)
    return StageAnswer(name, pool, path, expectedMs, askYesNo("  Stage $name: may a call be repeated?"), model)
}

private fun Console.askWorkspace(number: Int): WorkspaceAnswer {
    val name = askId("Workspace $number: its id?")
    val share = askNumber("Workspace $name: its share of the peak load, relative to the other workspaces?", 1..MAX_COUNT)
    return WorkspaceAnswer(name, share, askNumber("Workspace $name: its priority (0 is the highest)?", 0..MAX_PRIORITY))
}

private fun Console.askAddress(question: String): Endpoint =
    ask(question) { answer ->
        val port = requireNotNull(answer.substringAfterLast(':', "").toIntOrNull()) { "must be IP:PORT" }
        require(port in 1..MAX_PORT) { "the port must be from 1 to $MAX_PORT" }
        Endpoint(answer.substringBeforeLast(':').trim('[', ']'), port)
    }

/** A format that an answer must match; [rule] is the error message for an answer that does not. */
private class AnswerFormat(
    private val regex: Regex,
    private val rule: String,
) {
    fun requireMatch(answer: String): String = answer.also { require(regex.matches(it)) { rule } }
}

private val ID = AnswerFormat(Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}"), "must be 1 to 64 letters, digits, '.', '_' or '-'")
private val URL = AnswerFormat(Regex("http://([0-9.]+|\\[[0-9a-fA-F:]+]):\\d{1,5}"), "must be http://IP:PORT")
private const val MAX_COUNT = 1_000
private const val MAX_CONCURRENCY = 10_000
private const val MAX_DEADLINE_MS = 600_000
private const val MAX_STAGES = 6
private const val MAX_PRIORITY = 9

/** The highest port that is accepted in an address. An entry instance also uses the two ports after its first one. */
private const val MAX_PORT = 65_533
