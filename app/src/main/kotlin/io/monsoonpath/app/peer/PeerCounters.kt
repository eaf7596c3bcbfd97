package io.monsoonpath.app.peer

import java.util.concurrent.atomic.LongAdder

/** Counters of the peer transport of one process since its start. */
internal class PeerCounters {
    val sentMessages = LongAdder()
    val receivedMessages = LongAdder()
    val sentBytes = LongAdder()
    val receivedBytes = LongAdder()
    val sentFrames = LongAdder()

    /** The number of messages dropped because a peer is unknown, is unreachable, or receives too slowly. */
    val droppedMessages = LongAdder()

    /** The number of messages dropped because only a newer version supports their kind. */
    val unknownMessageKinds = LongAdder()

    /** The number of connections closed because the peer sent bytes that violate the protocol. */
    val malformedFrames = LongAdder()

    /** The number of handshakes that ended in a refusal by either side. */
    val refusedHandshakes = LongAdder()
}
