package io.monsoonpath.coordination.gossip

/**
 * Finds out whether a connection to a peer still passes messages both ways.
 *
 * A connection may go silent without being closed, while datagrams still pass and new connections work. Neither the membership nor a
 * [PathMonitor] notices that. While the connection is in use, a keep-alive is therefore sent in each round, and the peer returns it. After
 * [maxSilentRounds] keep-alives in a row with no byte received, the connection counts as silent. Rounds are counted, not time: on a busy
 * machine the rounds are late, and bytes may be waiting.
 */
class ConnectionMonitor(
    private val maxSilentRounds: Int = DEFAULT_MAX_SILENT_ROUNDS,
) {
    /** What is to be done with a connection in a round. */
    enum class Verdict {
        /** Nothing. */
        NONE,

        /** Send a keep-alive, because the connection is in use. */
        SEND_KEEP_ALIVE,

        /** Close the connection, because nothing has arrived on it although it is in use. */
        CLOSE_SILENT,

        /** Close the connection, because it is not in use any more. */
        CLOSE_UNUSED,
    }

    /** Whether anything has arrived on the connection. */
    var hasReceived = false
        private set
    private var hasSentSinceRound = false
    private var silentRounds = 0
    private var unusedRounds = 0

    /** Records that a message other than a keep-alive was sent. */
    fun recordSent() {
        hasSentSinceRound = true
    }

    /** Records that bytes have arrived. */
    fun recordReceived() {
        hasReceived = true
        silentRounds = 0
        unusedRounds = 0
    }

    /** Starts a round of an outgoing connection; [isAwaited] tells whether messages are expected on it. */
    fun startRound(isAwaited: Boolean): Verdict {
        val isInUse = hasSentSinceRound || isAwaited || silentRounds > 0
        hasSentSinceRound = false
        if (!isInUse) return if (++unusedRounds > MAX_UNUSED_ROUNDS) Verdict.CLOSE_UNUSED else Verdict.NONE
        unusedRounds = 0
        if (silentRounds >= maxSilentRounds) return Verdict.CLOSE_SILENT
        silentRounds++
        return Verdict.SEND_KEEP_ALIVE
    }

    /** Starts a round of an incoming connection whose peer sends keep-alives and closes connections that it does not use. */
    fun startIncomingRound(): Verdict = if (++unusedRounds > MAX_UNUSED_INCOMING_ROUNDS) Verdict.CLOSE_UNUSED else Verdict.NONE

    /** The interval of rounds. */
    companion object {
        /** The interval between two rounds, in milliseconds. */
        const val ROUND_INTERVAL_MS = 500L

        /** Two seconds, longer than the time after which a silent process counts as dead. */
        private const val DEFAULT_MAX_SILENT_ROUNDS = 4

        /** Half a minute, longer than most requests wait. */
        private const val MAX_UNUSED_ROUNDS = 60

        /** Longer than the peer keeps a connection that it does not use. */
        private const val MAX_UNUSED_INCOMING_ROUNDS = 2 * MAX_UNUSED_ROUNDS
    }
}
