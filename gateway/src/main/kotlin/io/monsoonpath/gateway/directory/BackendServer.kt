package io.monsoonpath.gateway.directory

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId

/** A host and a port. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    /** Parses addresses. */
    companion object {
        /** Parses [text] in the form `IP:PORT` and returns the address, or null if [text] is invalid. */
        fun parseOrNull(text: String): Address? {
            val colon = text.lastIndexOf(':')
            val port = text.substring(colon + 1).toIntOrNull()
            return if (colon <= 0 || port == null || port !in 1..MAX_PORT) null else Address(text.substring(0, colon), port)
        }

        private const val MAX_PORT = 65_535
    }
}

/** The state of a backend server. */
enum class BackendState {
    /** The backend server accepts new requests. */
    READY,

    /** The backend server completes its running requests and must not receive new ones. */
    DRAINING,
}

/**
 * One incarnation of a backend server. Immutable.
 *
 * @property slots the number of requests that are processed at the same time
 * @property coldUntilMs the end of the cold start, until which the server can serve only a low rate, by this process's clock
 * @property startedAtUnixMs the start time by the clock of the server; a new value with the same id denotes a new incarnation
 */
data class BackendServer(
    val id: BackendId,
    val pool: PoolId,
    val address: Address,
    val failureDomain: FailureDomain,
    val slots: Int,
    val state: BackendState,
    val coldUntilMs: Long,
    val startedAtUnixMs: Long,
)
