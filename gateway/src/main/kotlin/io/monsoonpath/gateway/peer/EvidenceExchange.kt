package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.crash.EvidenceCodec
import io.monsoonpath.coordination.crash.EvidenceDelta
import io.monsoonpath.coordination.crash.EvidenceMessage
import io.monsoonpath.coordination.message.chunkedBySize
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.crash.CrashQuarantine
import io.monsoonpath.gateway.crash.EvidenceCatchUp
import io.monsoonpath.gateway.crash.EvidencePublisher
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.channel.EventLoop
import kotlin.random.Random

/**
 * Exchanges evidence on crashes between the instances, as datagrams, because a connection may stay silent for seconds before its loss is
 * noticed.
 *
 * New evidence is sent at once to all instances of a small fleet, and to a few of a large one, which forward it. Whatever is lost is
 * repaired by comparing digests with random instances in each round. An instance that has started or was paused asks for everything at
 * once. Must be used on the event loop only.
 *
 * @param localAddress the address of this instance; all instances use the same port
 */
internal class EvidenceExchange(
    loop: EventLoop,
    private val localAddress: Address,
    private val membership: Membership,
    private val quarantine: CrashQuarantine,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    log: DecisionLog,
    private val random: Random,
) : EvidencePublisher {
    private val datagrams = PeerDatagrams(loop, localAddress, "evidence", log, ::receive)

    /** Holds requests back until this instance has received the evidence of another one. */
    val catchUp =
        EvidenceCatchUp(clock, scheduler, log) { send(randomPeers(DIGEST_FANOUT), EvidenceMessage.CatchUpRequest(quarantine.digest)) }

    /** Binds the port and starts the rounds. */
    fun start() {
        datagrams.start()
        if (membership.hasOtherSeeds) catchUp.start()
        scheduler.scheduleRepeatedly(ROUND_INTERVAL_MS, ::runRound)
    }

    private fun runRound() {
        catchUp.recordAlive()
        send(randomPeers(DIGEST_FANOUT), EvidenceMessage.Digest(quarantine.digest))
    }

    override fun publish(delta: EvidenceDelta) = send(randomPeers(PUBLISH_FANOUT), EvidenceMessage.Evidence(delta))

    private fun randomPeers(count: Int): List<String> =
        membership.liveMembers
            .map { it.host }
            .filter { it != localAddress.host }
            .shuffled(random)
            .take(count)

    private fun send(
        hosts: List<String>,
        message: EvidenceMessage,
    ) {
        if (hosts.isNotEmpty()) datagrams.send(hosts, withinLimit(EvidenceCodec.encode(message, clock.nowMs())))
    }

    /** Returns [encoded], or a random part of it if it is too long. The next rounds send other parts, until the receiver has all. */
    private fun withinLimit(encoded: List<ByteArray>): List<ByteArray> =
        if (encoded.sumOf { it.size } <= MAX_MESSAGE_BYTES) {
            encoded
        } else {
            encoded.shuffled(random).chunkedBySize(MAX_MESSAGE_BYTES) { it.size }.first()
        }

    private fun receive(
        from: String,
        bytes: ByteArray,
    ): Boolean {
        val message = EvidenceCodec.decodeOrNull(bytes, clock.nowMs()) ?: return false
        handle(from, message)
        return true
    }

    private fun handle(
        from: String,
        message: EvidenceMessage,
    ) = when (message) {
        is EvidenceMessage.Digest -> sendEvidence(from, message.value)
        is EvidenceMessage.CatchUpRequest -> {
            sendEvidence(from, message.digest)
            if (catchUp.isComplete) send(listOf(from), EvidenceMessage.CatchUpReply) else Unit
        }
        EvidenceMessage.CatchUpReply -> {
            quarantine.refresh()
            catchUp.recordReply()
        }
        is EvidenceMessage.Evidence -> forward(quarantine.merge(message.delta))
        is EvidenceMessage.Fragment -> forward(quarantine.merge(message.value))
    }

    /** Sends [added], which was new here, to others of a large fleet. */
    private fun forward(added: EvidenceDelta) {
        if (!added.isEmpty && membership.liveMembers.size > PUBLISH_FANOUT) publish(added)
    }

    /** Sends all evidence to [host] if its evidence, which has the given [digest], differs. */
    private fun sendEvidence(
        host: String,
        digest: Long,
    ) {
        if (digest != quarantine.digest) send(listOf(host), EvidenceMessage.Evidence(quarantine.allEvidence()))
    }

    private companion object {
        /** With two instances asked in each round, a lost datagram is made up for within about a second. */
        const val ROUND_INTERVAL_MS = 500L
        const val DIGEST_FANOUT = 2

        /** The number of instances that receive new evidence directly: all of a small fleet. */
        const val PUBLISH_FANOUT = 12

        /** Fits into the receive buffer of a socket. */
        const val MAX_MESSAGE_BYTES = 64 * 1024
    }
}
