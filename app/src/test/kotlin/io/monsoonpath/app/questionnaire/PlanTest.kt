package io.monsoonpath.app.questionnaire

import io.monsoonpath.app.command.documents
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.readDocument
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

class PlanTest {
    @TestFactory
    fun `init generates the checked-in examples from their answers`(): List<DynamicTest> =
        listOf("kovacs", "cesped").map { example ->
            dynamicTest(example) {
                val directory = File("../examples/$example")
                val answers = readAnswers(directory)
                val plan = assertIs<ValidationResult.Valid<Plan>>(answers.toPlan()).document
                val expected = directory.listFiles().orEmpty().associate { it.name to it.readText() }
                assertEquals(expected.toSortedMap(), plan.documents(answers).toSortedMap(), "rerun init on ${directory.name}/answers.json")
            }
        }

    private class Case(
        val name: String,
        val change: (Answers) -> Answers,
        val path: String,
    )

    private val invalidAnswers =
        listOf(
            Case("peak load of zero", { it.changeFirstPipeline { p -> p.copy(peakPerS = 0.0) } }, "$.pipelines[0].peakPerS"),
            Case("unknown pool", { it.changeFirstPipeline { p -> p.copy(stages = p.stages.map { s -> s.copy(pool = "x") }) } }, STAGE_POOL),
            Case("seven stages", {
                it.changeFirstPipeline { p ->
                    p.copy(stages = List(7) { i -> p.stages[0].copy(name = "s$i") })
                }
            }, STAGES),
            Case("share of zero", { it.copy(workspaces = it.workspaces.map { w -> w.copy(share = 0) }) }, "$.workspaces[0].share"),
            Case("unknown domain", { it.copy(instances = it.instances.map { i -> i.copy(domain = "x") }) }, "$.instances[0].domain"),
            Case("cold above warm", { it.copy(pools = it.pools.map { p -> p.copy(coldConcurrency = 99) }) }, "$.backends[0].coldLoad"),
            Case("port out of range", { it.copy(instances = it.instances.map { i -> i.copy(firstPort = 70_000) }) }, PORT),
            Case("model without a size in MB", {
                it.copy(
                    pools =
                        it.pools.map { p ->
                            p.copy(models = listOf("m:big"))
                        },
                )
            }, "$.models[0].loadMb"),
        )

    @TestFactory
    fun `invalid answers are reported with their path`(): List<DynamicTest> =
        invalidAnswers.map { case ->
            dynamicTest(case.name) {
                val problems = assertIs<ValidationResult.Invalid>(case.change(readAnswers(File("../examples/kovacs"))).toPlan()).problems
                assertTrue(problems.any { it.path == case.path }, "expected a problem at ${case.path}, found $problems")
            }
        }

    @Test
    fun `the dialogue repeats a question after an invalid answer and fails when the input ends early`() {
        val console = ScriptedConsole(INPUT_LINES)
        val answers = console.askAnswers()
        assertEquals(listOf("  'x': must be a whole number", "  'fdX': must be one of fd1, fd2"), console.shown)
        assertEquals(StageKind.SERVICE, answers.pools.single().kind)
        assertIs<ValidationResult.Valid<Plan>>(answers.toPlan())
        assertFailsWith<DialogueEndedException> { ScriptedConsole(INPUT_LINES.dropLast(1)).askAnswers() }
    }

    private class ScriptedConsole(
        lines: List<String>,
    ) : Console {
        private val remaining = ArrayDeque(lines)
        val shown = mutableListOf<String>()

        override fun show(text: String) {
            shown += text
        }

        override fun askOrNull(prompt: String): String? = remaining.removeFirstOrNull()
    }

    private fun readAnswers(directory: File) =
        assertIs<ValidationResult.Valid<Answers>>(readDocument(File(directory, "answers.json").readText(), Answers.serializer())).document

    private fun Answers.changeFirstPipeline(change: (PipelineAnswer) -> PipelineAnswer) =
        copy(pipelines = listOf(change(pipelines.first())) + pipelines.drop(1))

    private companion object {
        const val STAGE_POOL = "$.pipelines[0].stages[0].pool"
        const val STAGES = "$.pipelines[0].stages.size"
        const val PORT = "$.instances[0].caller.port"
        val INPUT_LINES =
            listOf("Test", "x", "1", "r1", "fd1, fd2", "http://127.0.0.1:8500", "1", "e1", "fd1", "127.0.0.1:8080") +
                listOf("1", "orders", "service", "8", "2", "1", "fdX", "fd2", "127.0.0.1:9000") +
                listOf("1", "order", "/v1/orders", "2000", "5", "no", "1", "reserve", "orders", "/reserve", "50", "no") +
                listOf("1", "dealers", "10", "0")
    }
}
