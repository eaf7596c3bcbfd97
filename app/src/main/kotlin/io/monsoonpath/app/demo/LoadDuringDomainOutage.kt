package io.monsoonpath.app.demo

import io.monsoonpath.app.edit.Edit
import io.monsoonpath.app.load.Flow
import io.monsoonpath.app.load.LoadPlan
import io.monsoonpath.app.load.LoadReport
import io.monsoonpath.app.load.LoadRunner
import io.monsoonpath.app.load.stageCosts
import io.monsoonpath.model.FailureDomain
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Runs an open-loop load against [fleet], takes a failure domain out and back in during the load, and returns a report.
 *
 * The instance in that domain receives no requests, as behind a load balancer that uses readiness checks.
 */
internal fun loadDuringDomainOutage(fleet: DemoFleet): LoadReport {
    fleet.awaitClaims()
    val plan =
        LoadPlan(
            durationMs = DURATION_MS,
            targets = fleet.instances.drop(1).map { "http://127.0.0.1:${it.callerPort}" },
            flows =
                listOf(
                    Flow("match", MATCH_PATH, ratePerS = 60.0, deadlineMs = DEADLINE_MS),
                    Flow("order", ORDER_PATH, ratePerS = 20.0, deadlineMs = DEADLINE_MS),
                    Flow("look-up", LOOK_UP_PATH, ratePerS = 30.0, deadlineMs = DEADLINE_MS),
                ),
        )
    val key = DEMO_KEYS.getValue(LARGE_WORKSPACE).secret
    val runner = LoadRunner(plan, mapOf("match" to key, "order" to key), "load")
    publishAfter(DURATION_MS / 3) { fleet.publish(Edit.SetDomainOut(FailureDomain("fd1"), out = true)) }
    publishAfter(DURATION_MS * 2 / 3) { fleet.publish(Edit.SetDomainOut(FailureDomain("fd1"), out = false)) }
    val summaries = runner.run().summaries()
    return LoadReport(summaries, stageCosts(fleet.instances.flatMap { it.events.after(0) }, runner.requestIdPrefix))
}

private fun publishAfter(
    delayMs: Long,
    publish: () -> Unit,
) = CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS).execute(publish)

private const val DURATION_MS = 6_000L
private const val DEADLINE_MS = 4_000L
