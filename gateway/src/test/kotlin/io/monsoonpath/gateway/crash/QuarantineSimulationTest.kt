package io.monsoonpath.gateway.crash

import io.monsoonpath.coordination.crash.CrashId
import io.monsoonpath.coordination.crash.EvidenceDelta
import io.monsoonpath.coordination.crash.ReportedSuspect
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.choice.FleetView
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.PromptPartId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.assertTrue

/**
 * Replays requests with prompt parts that crash engines, in virtual time, over several instances that lose messages, freeze and join, beside
 * crashes for other reasons.
 */
class QuarantineSimulationTest {
    private class Case(
        val name: String,
        val fatalParts: Int = 1,
        /** The share of the requests that have one of the fatal parts. */
        val fatalShare: Double = 0.05,
        val otherCrashesPerS: Double = 0.0,
        val lossShare: Double = 0.0,
        val freezes: Boolean = false,
        val joins: Boolean = false,
        /** Whether requests with a fatal part share all their other parts. */
        val hasFixedCompanions: Boolean = false,
    )

    private val cases =
        listOf(
            Case("one part"),
            Case("one part in many requests", fatalShare = 0.3),
            Case("one part with fixed companions", hasFixedCompanions = true),
            Case("three parts at once", fatalParts = 3, fatalShare = 0.1),
            Case("crashes for other reasons", otherCrashesPerS = 0.5),
            Case("lost messages", lossShare = 0.3),
            Case("frozen instances", freezes = true),
            Case("joining instances", joins = true),
            Case("everything", 2, 0.1, otherCrashesPerS = 0.3, lossShare = 0.2, freezes = true, joins = true),
        )

    @TestFactory
    fun `few requests with a fatal part are sent after the fifth crash, and sound requests are not refused`() =
        cases.flatMap { case -> (1L..SEEDS).map { seed -> case to seed } }.map { (case, seed) ->
            DynamicTest.dynamicTest("${case.name}, seed $seed") {
                val outcome = Simulation(case, seed).run()
                assertTrue(
                    outcome.lateSends.values.all { it <= MAX_LATE_SENDS },
                    "sends after the fifth crash by part: ${outcome.lateSends}",
                )
                assertTrue(
                    outcome.refusedSound <= outcome.sound * MAX_REFUSED_SHARE,
                    "${outcome.refusedSound} of ${outcome.sound} sound requests refused",
                )
            }
        }

    private class Outcome {
        /** The requests with each fatal part that instances in touch sent later than [IN_TOUCH_MS] after its fifth crash. */
        val lateSends = HashMap<PromptPartId, Int>()
        var sound = 0
        var refusedSound = 0
    }

    private class Engine(
        val id: BackendId,
        val atInstances: HashMap<Int, LinkedHashSet<Request>> = HashMap(),
    )

    private class Request(
        val parts: Set<PromptPartId>,
        val sentAtMs: Long,
        var isProven: Boolean = false,
    )

    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private class Simulation(
        private val case: Case,
        seed: Long,
    ) {
        private val random = Random(seed)
        private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
        private var nextOrder = 0L
        private var nowMs = 0L
        private val outcome = Outcome()
        private val fatalParts = List(case.fatalParts) { PromptPartId("fatal$it") }
        private val crashTimes = HashMap<PromptPartId, MutableList<Long>>()
        private val engines = ArrayList<Engine>()
        private var startedEngines = 0
        private val scheduler =
            object : Scheduler {
                override fun schedule(
                    delayMs: Long,
                    action: () -> Unit,
                ) = at(nowMs + delayMs, action)

                override fun scheduleRepeatedly(
                    intervalMs: Long,
                    action: () -> Unit,
                ) = error("not used")
            }
        private val instances = ArrayList<CrashQuarantine>()
        private val frozenUntilMs = HashMap<Int, Long>()
        private val lastDisturbedMs = HashMap<Int, Long>()

        fun run(): Outcome {
            repeat(INSTANCES) { join() }
            repeat(ENGINES) { startEngine() }
            repeatEvery({ (-Math.log(1 - random.nextDouble()) * MS_PER_S / REQUESTS_PER_S).toLong() }, ::arrive)
            if (case.otherCrashesPerS >
                0
            ) {
                repeatEvery({ (MS_PER_S / case.otherCrashesPerS).toLong() }) { crash(engines.random(random), emptySet()) }
            }
            if (case.freezes) repeatEvery({ 2_500 }, ::freeze)
            if (case.joins) repeatEvery({ 6_000 }, ::join)
            repeatEvery({ ROUND_MS }, ::exchangeDigests)
            while (true) {
                val event = events.poll() ?: break
                if (event.atMs > END_MS) break
                nowMs = event.atMs
                event.action()
            }
            return outcome
        }

        private fun at(
            atMs: Long,
            action: () -> Unit,
        ) {
            events += Event(atMs, nextOrder++, action)
        }

        private fun repeatEvery(
            nextDelayMs: () -> Long,
            action: () -> Unit,
        ): Unit =
            at(nowMs + nextDelayMs()) {
                action()
                repeatEvery(nextDelayMs, action)
            }

        private fun join() {
            val index = instances.size
            val log = DecisionLog(ByteArrayOutputStream())
            val quarantine =
                CrashQuarantine("h$index", 1, { FleetView(12, "h$index", instances.indices.map { "h$it" }) }, { nowMs }, scheduler, log)
            quarantine.publisher =
                EvidencePublisher { delta -> instances.indices.filter { it != index }.forEach { deliver(index, it, delta) } }
            instances += quarantine
            lastDisturbedMs[index] = nowMs
        }

        private fun isFrozen(instance: Int) = (frozenUntilMs[instance] ?: 0) > nowMs

        private fun freeze() {
            val instance = instances.indices.random(random)
            frozenUntilMs[instance] = nowMs + 2_000
            lastDisturbedMs[instance] = nowMs + 2_000
        }

        private fun deliver(
            from: Int,
            to: Int,
            delta: EvidenceDelta,
        ) {
            if (random.nextDouble() < case.lossShare) return
            at(nowMs + random.nextLong(1, 20)) { if (!isFrozen(to) && from != to) instances[to].merge(delta) }
        }

        private fun exchangeDigests() {
            for (from in instances.indices.filterNot(::isFrozen)) {
                val peers = instances.indices.filter { it != from && !isFrozen(it) && random.nextDouble() >= case.lossShare }
                for (to in peers.shuffled(random).take(2)) {
                    if (instances[to].digest != instances[from].digest) deliver(to, from, instances[to].allEvidence())
                }
            }
        }

        private fun startEngine() {
            engines += Engine(BackendId("w${startedEngines++}"))
        }

        private fun arrive() {
            val instance = instances.indices.filterNot(::isFrozen).random(random)
            val fatal = fatalParts.random(random).takeIf { nowMs > FAULT_START_MS && random.nextDouble() < case.fatalShare }
            val isFixed = fatal != null && case.hasFixedCompanions
            val popular = PromptPartId("a${if (isFixed) 0 else random.nextInt(3)}")
            val rare = PromptPartId("b${if (isFixed) 0 else random.nextInt(RARE_PARTS)}")
            val parts = setOfNotNull(popular, rare, fatal)
            if (fatal == null) outcome.sound++
            if (instances[instance].check(parts) != null) {
                if (fatal == null) outcome.refusedSound++
                return
            }
            send(instance, parts, fatal)
        }

        private fun send(
            instance: Int,
            parts: Set<PromptPartId>,
            fatal: PromptPartId?,
        ) {
            val fifthCrashMs = crashTimes[fatal]?.getOrNull(FIFTH)
            val isInTouch = nowMs - lastDisturbedMs.getValue(instance) > IN_TOUCH_MS
            if (fatal != null && fifthCrashMs != null && nowMs > fifthCrashMs + IN_TOUCH_MS && isInTouch) {
                outcome.lateSends.merge(fatal, 1, Int::plus)
            }
            val engine = engines.random(random)
            val request = Request(parts, nowMs)
            engine.atInstances.getOrPut(instance) { LinkedHashSet() } += request
            at(nowMs + random.nextLong(50, 500)) { beginAnswer(engine, instance, request, fatal) }
        }

        private fun beginAnswer(
            engine: Engine,
            instance: Int,
            request: Request,
            fatal: PromptPartId?,
        ) {
            if (engine !in engines) return
            if (fatal != null) return crash(engine, setOf(fatal))
            at(nowMs + PROOF_MS) {
                if (engine in engines) {
                    engine.atInstances.getValue(instance) -= request
                    if (!isFrozen(instance)) instances[instance].recordAnswer(request.parts)
                }
            }
        }

        private fun crash(
            engine: Engine,
            causes: Set<PromptPartId>,
        ) {
            engines -= engine
            startEngine()
            causes.forEach { crashTimes.getOrPut(it) { ArrayList() } += nowMs }
            val crashedAtMs = nowMs
            for ((instance, requests) in engine.atInstances) {
                val suspects = requests.map { ReportedSuspect(crashedAtMs - it.sentAtMs, it.parts) }
                val noticedAtMs = maxOf(nowMs + random.nextLong(1, 20), frozenUntilMs[instance] ?: 0)
                if (suspects.isNotEmpty()) at(noticedAtMs) { instances[instance].recordCrash(CrashId(engine.id, 1), crashedAtMs, suspects) }
            }
        }
    }

    private companion object {
        const val SEEDS = 20L
        const val INSTANCES = 6
        const val ENGINES = 12
        const val REQUESTS_PER_S = 30.0
        const val RARE_PARTS = 200
        const val MS_PER_S = 1_000.0
        const val FAULT_START_MS = 3_000L
        const val END_MS = 30_000L
        const val ROUND_MS = 500L
        const val PROOF_MS = 250L
        const val FIFTH = 4

        /** The promise to the users: an instance is bound by what happened before it has been undisturbed for so long. */
        const val IN_TOUCH_MS = 3_000L
        const val MAX_LATE_SENDS = 3

        /** A wrong refusal costs a caller its answer, so it may happen only by the coincidence of rare parts. */
        const val MAX_REFUSED_SHARE = 0.01
    }
}
