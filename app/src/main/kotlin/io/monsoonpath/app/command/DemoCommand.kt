package io.monsoonpath.app.command

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.app.http.EntryInstance
import io.monsoonpath.app.http.REQUEST_ID_HEADER
import io.monsoonpath.app.standin.DEMO_KEY
import io.monsoonpath.app.standin.StandInBackend
import io.monsoonpath.app.standin.StandInPlatform
import io.monsoonpath.app.standin.demoConfiguration
import io.monsoonpath.app.standin.demoInstances
import io.monsoonpath.app.standin.demoSettings
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

/** Runs real requests over stand-ins and entry instances in one process. */
@OptIn(ExperimentalCli::class)
internal class DemoCommand : Subcommand("demo", "Run requests over embedded stand-ins and print what happened") {
    override fun execute() {
        val failures = runDemo()
        failures.forEach { System.err.println("FAILED: $it") }
        if (failures.isEmpty()) println("All guarantees held.")
        exitProcess(if (failures.isEmpty()) 0 else 1)
    }
}

/** Runs the demonstration and returns every guarantee that failed. */
internal fun runDemo(): List<String> {
    val backends = STAGES.associateWith { StandInBackend(it, tookMs = 5).start() }
    val platform = StandInPlatform().start()
    platform.publish(demoConfiguration(backends.mapValues { it.value.url }))
    val instances = (1..3).map { EntryInstance(demoSettings(it, platform.url)) }
    instances.forEach { it.start() }
    platform.publish(demoInstances(1, instances.associate { it.id to it.coordinator.peerPort }))
    instances.forEach { it.ready.get(READY_TIMEOUT_MS, TimeUnit.MILLISECONDS) }
    val failures = (1..REQUESTS).mapNotNull { sendOne(it, instances[it % instances.size], backends.values) }
    println(
        "$REQUESTS requests over ${STAGES.size} stages and ${instances.size} entry instances: ${REQUESTS - failures.size} whole answers",
    )
    (instances + platform + backends.values).parallelStream().forEach { it.close() }
    return failures
}

private fun sendOne(
    number: Int,
    instance: EntryInstance,
    backends: Collection<StandInBackend>,
): String? {
    val id = "demo-$number"
    val headers =
        RequestHeaders
            .builder(HttpMethod.POST, "/v1/match")
            .add(REQUEST_ID_HEADER, id)
            .add(HttpHeaderNames.AUTHORIZATION, "Bearer $DEMO_KEY")
            .build()
    val client = WebClient.of("http://127.0.0.1:${instance.callerPort}")
    val answer = client.execute(headers, """{"text":"hinge $number"}""").aggregate().join()
    val expected = STAGES.fold("""{"text":"hinge $number"}""") { body, stage -> """{"by":"$stage","of":$body}""" }
    return when {
        answer.status() != HttpStatus.OK -> "$id was answered ${answer.status()}: ${answer.contentUtf8()}"
        answer.contentUtf8() != expected -> "$id was answered with ${answer.contentUtf8()}"
        backends.any { it.runsOf(id) != 1 } -> "$id did not run exactly once at each stage"
        else -> null
    }
}

private val STAGES = listOf("encode", "retrieve", "rerank", "generate")
private const val REQUESTS = 30
private const val READY_TIMEOUT_MS = 10_000L
