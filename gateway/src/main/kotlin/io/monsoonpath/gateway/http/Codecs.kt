package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.stage.Piece
import io.monsoonpath.gateway.stage.PieceResult
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.WorkspaceId
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** A part of a prompt that other requests may share. */
data class PromptPart(
    val id: String,
    val tokens: Int,
)

/**
 * What the head of a caller's request says.
 *
 * @property timeoutMs how long the caller waits from when it sent the request, in milliseconds, or null if it does not say
 * @property apiKey the caller's key, or null
 * @property promptParts the parts of the prompt in their order; the last belongs to the request or its session
 * @property lastEventId the last event of a broken stream that the caller has, or null
 * @property stagePieceCounts the number of pieces of each stage
 * @property inputKey names the input of the pieces of the first stages
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
)

/** A caller's request head, decoded. */
sealed interface DecodedHead {
    /** The head can be served. */
    class Valid(
        val head: RequestHead,
    ) : DecodedHead

    /** The head is malformed; [reason] says how. */
    class Malformed(
        val reason: String,
    ) : DecodedHead
}

/**
 * The headers that this system sets on a call to a backend server.
 *
 * @property remainingMs how long the backend server may work, in milliseconds
 * @property resultHandles the results of the last stages
 * @property resumeAfter the last event that the caller has, if another backend server continues
 */
class CallHead(
    val target: BackendServer,
    val remainingMs: Long,
    val workspace: WorkspaceId?,
    val rank: Int,
    val resultHandles: List<String>,
    val resumeAfter: String?,
)

/**
 * What the head of a backend server's answer says.
 *
 * @property requestId the request that it answers, or null
 * @property isSigned whether it bears the backend server's signature
 * @property isNotRun whether the backend server states that it did not run the request
 * @property load the requests running and waiting there, or null
 */
class ResponseHead(
    val status: Int,
    val requestId: RequestId?,
    val isSigned: Boolean,
    val isNotRun: Boolean,
    val load: ReportedLoad?,
)

/** The load of a backend server as an answer reported it. */
data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

/** Reads callers' requests. */
interface CallerCodec {
    /** Returns what the head of [request] says. */
    fun decode(request: HttpRequest): DecodedHead
}

/** Writes calls to backend servers and reads their answers. */
interface BackendCodec {
    /** Returns the caller's [headers] without the key, those of one connection and those that only this system sets, and with [call]. */
    fun encode(
        headers: HttpHeaders,
        call: CallHead,
    ): HttpHeaders

    /** Returns what the head of [response] says. */
    fun decode(response: HttpResponse): ResponseHead

    /** Returns the call that makes the results of [pieces] at [target]. */
    fun encodeBatch(
        target: BackendServer,
        pieces: List<Piece>,
        nowMs: Long,
    ): FullHttpRequest

    /** Returns the results in [body], one for each of [count] pieces, or null if it holds something else. */
    fun decodeBatch(
        body: ByteBuf,
        count: Int,
    ): List<PieceResult>?

    /** Returns the address of the worker that holds the result called [handle], or null if it names none. */
    fun addressOf(handle: String): Address?

    /** Returns the call that releases the results named by [handles] at [target]. */
    fun encodeRelease(
        target: BackendServer,
        handles: List<String>,
    ): FullHttpRequest
}
