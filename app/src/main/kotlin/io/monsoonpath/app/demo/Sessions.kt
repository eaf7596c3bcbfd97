package io.monsoonpath.app.demo

import io.monsoonpath.app.edit.Edit
import io.monsoonpath.app.edit.differences
import io.monsoonpath.app.http.EntryInstance
import io.monsoonpath.app.standin.StandInBehavior
import io.monsoonpath.model.Event
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.RefusalReason
import java.util.concurrent.TimeUnit

/** Records the events of a session without times and ports, so that every run produces the same text. */
internal class Transcript {
    private val lines = mutableListOf<String>()

    /** The lines of the guarantees that did not hold. */
    val failures: List<String> get() = lines.filter { it.startsWith(FAILED) }

    /** Appends [line], which describes an action. */
    fun note(line: String) {
        lines += line
    }

    /** Records whether [guarantee] held. If it did not, [found] describes the actual result. */
    fun check(
        guarantee: String,
        holds: Boolean,
        found: Any? = null,
    ) {
        lines += if (holds) "  held: $guarantee" else "$FAILED: $guarantee${found?.let { ", but found $it" }.orEmpty()}"
    }

    override fun toString(): String = lines.joinToString("\n", postfix = "\n")

    private companion object {
        const val FAILED = "  FAILED"
    }
}

/** Represents a scripted scenario of callers, entry instances, platform and backend servers. */
internal class Session(
    val name: String,
    val run: (DemoFleet, Transcript) -> Unit,
)

/** All sessions, in the order in which the demonstration runs them. */
internal val SESSIONS: List<Session> =
    listOf(
        Session("normal day", ::normalDay),
        Session("failure domain out and in", ::domainOutAndIn),
        Session("burst of one workspace", ::burstOfOneWorkspace),
        Session("order sent twice", ::orderSentTwice),
        Session("backend server turns cold", ::backendTurnsCold),
        Session("platform down", ::platformDown),
        Session("instance cut off", ::instanceCutOff),
        Session("planned stop", ::plannedStop),
        Session("key withdrawn", ::keyWithdrawn),
    )

private fun normalDay(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    fleet.awaitClaims()
    transcript.note("60 matches, 12 orders and 12 look-ups, sent through all instances in turn")
    val matches = fleet.sendMany(60)
    val orders = fleet.sendMany(12, ORDER_PATH)
    val lookUps = fleet.sendMany(12, LOOK_UP_PATH, workspace = null)
    transcript.checkComplete("every match is answered whole", matches)
    transcript.checkComplete("every order is answered whole", orders)
    transcript.checkComplete("every look-up is answered whole, without a key", lookUps)
    val bodies = matches.filterIsInstance<Reply.Complete>().map { it.body }
    transcript.check("each answer went through the four stages in order", bodies.all { ANSWER_PATTERN.containsMatchIn(it) })
    transcript.check("no two callers got the same answer", bodies.distinct().size == bodies.size)
    val receivedCalls =
        fleet.backends.values
            .flatMap { it.received }
            .map { String(it.bytes) }
    transcript.check("no backend server saw a key", receivedCalls.none { call -> DEMO_KEYS.values.any { it.secret in call } })
}

private fun domainOutAndIn(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    transcript.publish(fleet, Edit.SetDomainOut(FailureDomain("fd2"), out = true))
    val before = fleet.callCountIn("fd2")
    transcript.note("60 matches through the instances in fd1 and fd3")
    transcript.checkComplete(
        "every match is answered whole",
        fleet.sendMany(
            60,
            instances =
                fleet.instances.filterIndexed {
                    i,
                    _,
                    ->
                    i != 1
                },
        ),
    )
    transcript.check("no call went to fd2", fleet.callCountIn("fd2") == before, fleet.callCountIn("fd2") - before)
    transcript.publish(fleet, Edit.SetDomainOut(FailureDomain("fd2"), out = false))
    transcript.note("120 matches through all instances")
    transcript.checkComplete("every match is answered whole", fleet.sendMany(120))
    transcript.check("calls go to fd2 again", fleet.callCountIn("fd2") > before)
}

private fun keyWithdrawn(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    fleet.awaitClaims()
    transcript.checkComplete("the key works", fleet.sendMany(3))
    transcript.publish(fleet, Edit.WithdrawKey(DEMO_KEYS.getValue(LARGE_WORKSPACE).spec.id), showDifferences = false)
    val replies = fleet.sendMany(9)
    transcript.check(
        "every instance refuses it, and nothing ran",
        replies.all { it.isRefused(RefusalReason.KEY_WITHDRAWN) },
        replies.take(2),
    )
    transcript.checkComplete("look-ups, which are open to all, go on", fleet.sendMany(3, LOOK_UP_PATH, workspace = null))
    transcript.checkComplete("the other workspace's key works", fleet.sendMany(1, workspace = SMALL_WORKSPACE))
}

private fun burstOfOneWorkspace(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    fleet.awaitClaims()
    transcript.note("the small workspace sends 40 matches at once, through all instances; the large one goes on")
    val startNs = System.nanoTime()
    val replies = fleet.sendMany(40, workspace = SMALL_WORKSPACE)
    val elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs) + 1
    val admitted = replies.count { it is Reply.Complete }
    val maxAdmitted = SMALL_BURST + SMALL_RATE_MILLI_PER_S * elapsedMs / MICROS_PER_UNIT
    transcript.check(
        "no more are admitted than burst and rate allow, over all instances",
        admitted <= maxAdmitted,
        "$admitted of $maxAdmitted",
    )
    transcript.check("some are admitted", admitted > 0)
    val refusals = replies.filterIsInstance<Reply.Refused>()
    transcript.check(
        "all others are refused for the rate, or because it could not be checked, and nothing of them ran",
        refusals.all { it.isRateRefusal() },
        refusals.filterNot { it.isRateRefusal() }.take(2),
    )
    transcript.check("each refusal says when to come back", refusals.all { (it.refusal.retryAfterMs ?: 0) > 0 })
    transcript.checkComplete("the large workspace is served throughout", fleet.sendMany(30))
}

private fun orderSentTwice(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    fleet.awaitClaims()
    transcript.note("an order, and the same order again through each instance")
    transcript.checkComplete(
        "the order is answered whole",
        listOf(fleet.send(fleet.instances[0], ORDER_PATH, LARGE_WORKSPACE, "order-1").join()),
    )
    val duplicateReplies = fleet.instances.map { fleet.send(it, ORDER_PATH, LARGE_WORKSPACE, "order-1").join() }
    transcript.check("no instance takes it for a new one", duplicateReplies.all { it.isDuplicate() }, duplicateReplies)
    val executions = fleet.backends.values.sumOf { it.runsOf("order-1") }
    transcript.check("it ran once", executions == 1, executions)
}

private fun backendTurnsCold(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    fleet.sendMany(60)
    transcript.note("an encoder restarts without warning, then 120 matches come at once")
    val encoder = fleet.backends.getValue(backendId("encode", "fd1"))
    encoder.restart()
    fleet.sendMany(3)
    val replies = fleet.sendMany(120)
    transcript.checkComplete("every match is answered whole", replies)
    transcript.check("the encoder got no more at once than it bears cold", !encoder.isOverloaded)
}

private fun platformDown(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    transcript.note("the platform goes down, and a change is published behind it")
    fleet.platform.isDown = true
    transcript.checkComplete("every match is answered whole", fleet.sendMany(30))
    fleet.publish(Edit.SetWorkspace(SMALL_WORKSPACE, burst = 2 * SMALL_BURST))
    transcript.checkComplete("service goes on with what is in force", fleet.sendMany(30))
    transcript.check("no instance invents a newer configuration", fleet.instances.all { it.revision.value == 1L })
    fleet.platform.isDown = false
    transcript.note("the platform comes back")
    transcript.checkAdopted(fleet)
}

private fun instanceCutOff(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    transcript.note("e3 loses its peers and the platform's list drops it; callers reach e1 and e2")
    val remaining = fleet.instances.take(2)
    fleet.isolate(fleet.instances[2])
    fleet.publishList(remaining)
    awaitWithin(TAKEOVER_MS, "e1 and e2 hold all of a limit") { fleet.sendMany(8, instances = remaining).all { it is Reply.Complete } }
    transcript.checkComplete("the others serve on", fleet.sendMany(30, instances = remaining))
    awaitWithin(TAKEOVER_MS, "e3 refuses") { fleet.send(fleet.instances[2], MATCH_PATH, LARGE_WORKSPACE).join() is Reply.Refused }
    val refused = fleet.sendMany(3, instances = fleet.instances.drop(2))
    transcript.check(
        "e3 refuses, and nothing ran",
        refused.all { it is Reply.Refused && it.refusal.ran == ExecutionStatus.NOT_RUN },
        refused,
    )
}

private fun plannedStop(
    fleet: DemoFleet,
    transcript: Transcript,
) {
    val stopping = fleet.instances[2]
    transcript.note("20 matches are running at e3 when it is told to stop")
    fleet.backends.values.forEach { it.behavior = { StandInBehavior.Answer(SLOW_CALL_MS) } }
    val before = stopping.attemptsSent()
    val running = (1..20).map { fleet.send(stopping, MATCH_PATH, LARGE_WORKSPACE) }
    awaitWithin(TIMEOUT_MS, "the matches run") { stopping.attemptsSent() - before >= running.size }
    stopping.close()
    transcript.checkComplete("none of them is cut", running.map { it.join() })
    fleet.publishList(fleet.instances.take(2))
    transcript.checkComplete("the others serve on", fleet.sendMany(30, instances = fleet.instances.take(2)))
}

private fun Transcript.publish(
    fleet: DemoFleet,
    edit: Edit,
    showDifferences: Boolean = true,
) {
    val before = fleet.configuration
    val after = fleet.publish(edit)
    val change = if (showDifferences) differences(before, after).drop(1).joinToString() else "a key is withdrawn"
    note("revision ${after.revision} is published: $change")
    checkAdopted(fleet)
}

private fun Transcript.checkAdopted(fleet: DemoFleet) {
    val revision = fleet.configuration.revision.value
    awaitWithin(TIMEOUT_MS, "revision $revision on all") { fleet.instances.all { it.revision.value == revision } }
    check("revision $revision is in force on all instances", holds = true)
}

private fun Transcript.checkComplete(
    guarantee: String,
    replies: List<Reply>,
) = check(guarantee, replies.all { it is Reply.Complete }, replies.filter { it !is Reply.Complete }.take(2))

private fun Reply.isRefused(reason: RefusalReason) =
    this is Reply.Refused && refusal.reason == reason && refusal.ran == ExecutionStatus.NOT_RUN

private fun Reply.isRateRefusal() = isRefused(RefusalReason.RATE_LIMITED) || isRefused(RefusalReason.LIMIT_UNREACHABLE)

private fun Reply.isDuplicate() =
    this is Reply.Refused && refusal.reason in setOf(RefusalReason.DUPLICATE_FINISHED, RefusalReason.DUPLICATE_RUNNING)

private fun EntryInstance.attemptsSent(): Int = events.after(0).count { (it.event as? Event.AttemptSent)?.stage?.value == MATCH_STAGES[0] }

private val ANSWER_PATTERN =
    Regex("""^\{"by":"generate-fd\d","of":\{"by":"rerank-fd\d","of":\{"by":"retrieve-fd\d","of":\{"by":"encode-fd\d","of":\{"id":""")
private const val MICROS_PER_UNIT = 1_000_000L
private const val SLOW_CALL_MS = 100L
private const val TIMEOUT_MS = 10_000L
private const val TAKEOVER_MS = 15_000L
