package io.monsoonpath.app.peer

import java.util.concurrent.atomic.LongAdder

/** What the transport of one process has done and dropped so far. */
internal class PeerCounters {
    val sentMessages = LongAdder()
    val receivedMessages = LongAdder()
    val sentBytes = LongAdder()
    val receivedBytes = LongAdder()
    val sentFrames = LongAdder()

    /** Messages dropped because a peer is unknown, cannot be reached, or takes them too slowly. */
    val droppedMessages = LongAdder()

    /** Messages dropped because only a newer version knows their kind. */
    val unknownMessageKinds = LongAdder()

    /** Connections closed because of a frame that did not follow the protocol. */
    val malformedFrames = LongAdder()

    /** Handshakes that ended in a refusal, by either side. */
    val refusedHandshakes = LongAdder()
}
