package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.netty.buffer.ByteBuf

/** What a server sent that is no part of the response that is due. */
enum class StrayBytes(
    /** The name in log lines and metrics. */
    val label: String,
) {
    /** Bytes on an idle connection. */
    IDLE("idle"),

    /** Bytes after the end of a response. */
    TRAILING("trailing"),

    /** A response to another request. */
    OTHER_RESPONSE("other-response"),

    /** A response that does not name its request, on a connection that was used before. */
    UNNAMED("unnamed"),

    /** A head within which another response begins. */
    SPLICED("spliced"),

    /** Bytes that are no response. */
    MALFORMED("malformed"),
}

/** Logs and counts the stray bytes on the connections to the server at [address]. */
internal class StrayBytesReporter(
    private val address: Address,
    private val counters: ConnectionCounters,
    private val log: DecisionLog,
) {
    /**
     * Reports stray bytes.
     *
     * @param exchangeNumber the number of the exchange on the connection that is running or was the last, from 1; 0 if there was none
     * @param detail what was received, of which the beginning is logged
     */
    fun report(
        kind: StrayBytes,
        exchangeNumber: Int,
        detail: String? = null,
    ) {
        counters.received(kind)
        log.line(
            "connection.stray",
            "address" to address,
            "kind" to kind.label,
            "exchange" to exchangeNumber,
            "detail" to detail?.take(MAX_DETAIL_CHARS),
        )
    }

    /** Reports the stray [bytes] without changing their reader index. */
    fun report(
        kind: StrayBytes,
        exchangeNumber: Int,
        bytes: ByteBuf,
    ) {
        val shown = minOf(bytes.readableBytes(), MAX_DETAIL_CHARS)
        report(kind, exchangeNumber, bytes.toString(bytes.readerIndex(), shown, Charsets.ISO_8859_1))
    }

    private companion object {
        /** Enough for a status line, and too little to show much of a caller's data. */
        const val MAX_DETAIL_CHARS = 64
    }
}
