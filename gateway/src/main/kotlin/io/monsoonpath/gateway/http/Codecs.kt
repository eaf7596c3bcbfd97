package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.stage.Piece
import io.monsoonpath.gateway.stage.PieceResult
import io.monsoonpath.model.PromptPartId
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.WorkspaceId
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Represents a part of a prompt, with its length in [tokens]; other requests may share it. */
data class PromptPart(
    val id: PromptPartId,
    val tokens: Int,
)

/**
 * The decoded head of a caller's request.
 *
 * @property timeoutMs how long the caller waits for the response, in milliseconds from sending the request, or null if not stated
 * @property apiKey the API key of the caller, or null
 * @property promptParts the parts of the prompt in order; the last is specific to the request or its session
 * @property lastEventId the ID of the last event that the caller received of an interrupted stream, or null
 * @property stagePieceCounts the number of pieces of each stage
 * @property inputKey the key of the input for the pieces of the first stages, or null
 */
class RequestHead(
    val id: RequestId,
    val timeoutMs: Long?,
    val apiKey: String?,
    val promptParts: List<PromptPart>,
    val promptTokens: Int,
    val outputTokens: Int,
    val lastEventId: String?,
    val stagePieceCounts: List<Int>,
    val inputKey: String?,
) {
    /** The parts of the prompt that other requests may share. The last part is specific to the request or its session. */
    val sharedPartIds: Set<PromptPartId> = promptParts.dropLast(1).mapTo(LinkedHashSet()) { it.id }
}

/** The result of decoding the head of a caller's request. */
sealed interface DecodedHead {
    /** The head is well-formed. */
    class Valid(
        val head: RequestHead,
    ) : DecodedHead

    /** The head is malformed; [reason] describes the fault. */
    class Malformed(
        val reason: String,
    ) : DecodedHead
}

/**
 * The values of the headers that this system sets on a call to a backend server.
 *
 * @property remainingMs the time in milliseconds until the deadline of the request
 * @property resultHandles the handles of the results of the last stages
 * @property resumeAfter the ID of the last event that the caller has received, if the call resumes a stream, or null
 * @property copyHost the engine to which the run's cached tokens are copied while it runs, or null
 * @property isContinuation whether the target continues the run from the copy that it stores
 */
class CallHead(
    val target: BackendServer,
    val remainingMs: Long,
    val workspace: WorkspaceId?,
    val rank: Int,
    val resultHandles: List<String>,
    val resumeAfter: String?,
    val copyHost: Address? = null,
    val isContinuation: Boolean = false,
)

/**
 * The decoded head of a backend server's response.
 *
 * @property requestId the ID of the request that the response belongs to, or null if not stated
 * @property isSigned whether the response carries the backend server's signature header
 * @property isNotRun whether the backend server states that it did not run the request
 * @property load the load of the backend server, or null if not stated
 * @property isLeaving whether the backend server states that it is leaving and wants no new requests
 * @property retryAfter how long the backend server wants no requests, as it states it, or null if not stated
 * @property loadFault what is wrong with the load that the backend server states, or null
 */
class ResponseHead(
    val status: Int,
    val requestId: RequestId?,
    val isSigned: Boolean,
    val isNotRun: Boolean,
    val load: ReportedLoad?,
    val isLeaving: Boolean,
    val retryAfter: String?,
    val loadFault: LoadFault? = null,
)

/** What is wrong with a load that a backend server stated. */
enum class LoadFault(
    val label: String,
) {
    /** One of the counts is missing or invalid, so that the whole report is ignored. */
    MALFORMED("malformed"),

    /** The pace is invalid, so that the report is used without it. */
    INVALID_PACE("invalid-pace"),
}

/**
 * The load that a backend server reported in a response.
 *
 * @property running the number of running requests
 * @property waiting the number of waiting requests
 * @property slots the number of requests that the server runs at the same time
 * @property pacePercent how long work takes on the server's machine at the time of the report, in percent of the usual duration, or null
 *   if the server does not state it
 */
data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val pacePercent: Int? = null,
)

/** Decodes the requests of callers. */
interface CallerCodec {
    /** Decodes the head of [request]. */
    fun decode(request: HttpRequest): DecodedHead
}

/** Encodes calls to backend servers and decodes their responses. */
interface BackendCodec {
    /**
     * Returns the headers of a call to a backend server: the caller's [headers] and the values of [call].
     *
     * The API key, the hop-by-hop headers and headers that only this system may set are not taken from the caller.
     */
    fun encode(
        headers: HttpHeaders,
        call: CallHead,
    ): HttpHeaders

    /** Decodes the head of [response]. */
    fun decode(response: HttpResponse): ResponseHead

    /** Returns the call that executes [pieces] at [target]. */
    fun encodeBatch(
        target: BackendServer,
        pieces: List<Piece>,
        nowMs: Long,
    ): FullHttpRequest

    /** Returns the results in [body], one for each of the [count] pieces, or null if [body] does not contain them. */
    fun decodeBatch(
        body: ByteBuf,
        count: Int,
    ): List<PieceResult>?

    /** Returns the address of the worker that stores the result [handle], or null if [handle] contains no valid address. */
    fun addressOf(handle: String): Address?

    /** Returns the call that releases the results identified by [handles] at [target]. */
    fun encodeRelease(
        target: BackendServer,
        handles: List<String>,
    ): FullHttpRequest
}
