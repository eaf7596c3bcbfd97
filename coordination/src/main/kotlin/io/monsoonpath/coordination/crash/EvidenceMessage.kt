package io.monsoonpath.coordination.crash

import io.monsoonpath.coordination.message.decodeCborOrNull
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.PromptPartId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray

/** A datagram of one instance to another. */
sealed interface EvidenceMessage {
    /** The digest of the sender's evidence. A receiver with another one replies with its own evidence. */
    class Digest(
        val value: Long,
    ) : EvidenceMessage

    /** Evidence to merge. */
    class Evidence(
        val delta: EvidenceDelta,
    ) : EvidenceMessage

    /** Like [Digest], from an instance that may lack evidence. A receiver that lacks none also replies with [CatchUpReply]. */
    class CatchUpRequest(
        val digest: Long,
    ) : EvidenceMessage

    /** States that all evidence of the sender was sent before this message. */
    data object CatchUpReply : EvidenceMessage
}

/** Encodes evidence for datagrams. Times are sent as ages, because the clocks of instances are not compared. */
@OptIn(ExperimentalSerializationApi::class)
object EvidenceCodec {
    /** Returns the datagrams for [message], each of about a kilobyte. */
    fun encode(
        message: EvidenceMessage,
        nowMs: Long,
    ): List<ByteArray> =
        when (message) {
            is EvidenceMessage.Digest -> listOf(encode(Datagram(digest = message.value)))
            is EvidenceMessage.Evidence -> encode(message.delta, nowMs)
            is EvidenceMessage.CatchUpRequest -> listOf(encode(Datagram(catchUpDigest = message.digest)))
            EvidenceMessage.CatchUpReply -> listOf(encode(Datagram(isCatchUpReply = true)))
        }

    /**
     * A report is sent together with the clearances of its parts. If they could be lost or delayed separately, the receiver would suspect
     * parts that others know to be harmless, and refuse sound requests.
     */
    private fun encode(
        delta: EvidenceDelta,
        nowMs: Long,
    ): List<ByteArray> {
        val clearedParts = delta.clearances.groupBy({ it.crash }, { it.parts }).mapValues { (_, parts) -> parts.flatten().toSet() }
        val reportedParts = delta.reports.groupBy({ it.crash }, { it.parts }).mapValues { (_, parts) -> parts.flatten().toSet() }
        val reports =
            delta.reports.map { report ->
                val cleared = clearedParts[report.crash].orEmpty() intersect report.parts
                val clearance = Clearance(report.crash, cleared).takeIf { cleared.isNotEmpty() }
                encode(Datagram(report = encode(report, nowMs), clearance = clearance?.let(::encode)))
            }
        val clearances =
            clearedParts
                .flatMap { (crash, parts) ->
                    (parts - reportedParts[crash].orEmpty()).chunked(MAX_PARTS).map { Clearance(crash, it.toSet()) }
                }.map { encode(Datagram(clearance = encode(it))) }
        return reports + clearances
    }

    /** Decodes [bytes], received at [nowMs], or returns null if they are not a valid message. */
    fun decodeOrNull(
        bytes: ByteArray,
        nowMs: Long,
    ): EvidenceMessage? {
        val datagram = decodeCborOrNull<Datagram>(bytes) ?: return null
        val clearances = listOfNotNull(datagram.clearance?.let(::decode))
        return when {
            datagram.digest != null -> EvidenceMessage.Digest(datagram.digest)
            datagram.catchUpDigest != null -> EvidenceMessage.CatchUpRequest(datagram.catchUpDigest)
            datagram.isCatchUpReply -> EvidenceMessage.CatchUpReply
            datagram.report != null ->
                decode(
                    datagram.report,
                    nowMs,
                )?.let { EvidenceMessage.Evidence(EvidenceDelta(listOf(it), clearances)) }
            clearances.isNotEmpty() -> EvidenceMessage.Evidence(EvidenceDelta(clearances = clearances))
            else -> null
        }
    }

    private fun encode(datagram: Datagram): ByteArray = Cbor.encodeToByteArray(datagram)

    private fun encode(
        report: CrashReport,
        nowMs: Long,
    ) = ReportRecord(
        report.id.host,
        report.id.incarnation,
        report.id.number,
        report.crash.backend.value,
        report.crash.startedAtUnixMs,
        ageMs = nowMs - report.atMs,
        report.suspects.map { SuspectRecord(it.sentBeforeMs, it.parts.map(PromptPartId::value)) },
    )

    private fun encode(clearance: Clearance) =
        ClearanceRecord(clearance.crash.backend.value, clearance.crash.startedAtUnixMs, clearance.parts.map(PromptPartId::value))

    private fun decode(
        record: ReportRecord,
        nowMs: Long,
    ): CrashReport? {
        val isValid = record.ageMs >= 0 && record.suspects.size <= MAX_SUSPECTS && record.suspects.all { it.parts.size <= MAX_PARTS }
        if (!isValid) return null
        return CrashReport(
            ReportId(record.host, record.incarnation, record.number),
            CrashId(BackendId(record.backend), record.startedAtUnixMs),
            atMs = nowMs - record.ageMs,
            record.suspects.map { ReportedSuspect(it.sentBeforeMs, it.parts.mapTo(HashSet(), ::PromptPartId)) },
        )
    }

    private fun decode(record: ClearanceRecord) =
        Clearance(CrashId(BackendId(record.backend), record.startedAtUnixMs), record.parts.mapTo(HashSet(), ::PromptPartId))

    /** The maximum number of suspects of one report, so that it fits into a datagram. */
    const val MAX_SUSPECTS = 8

    /** The maximum number of parts of one suspect, and of parts in one datagram of a clearance. */
    const val MAX_PARTS = 32
}

/** One of the fields is set, or a report with the clearance of its parts. */
@Serializable
private class Datagram(
    @SerialName("d") val digest: Long? = null,
    @SerialName("r") val report: ReportRecord? = null,
    @SerialName("c") val clearance: ClearanceRecord? = null,
    @SerialName("u") val catchUpDigest: Long? = null,
    @SerialName("o") val isCatchUpReply: Boolean = false,
)

@Serializable
private class ReportRecord(
    @SerialName("h") val host: String,
    @SerialName("i") val incarnation: Long,
    @SerialName("n") val number: Long,
    @SerialName("b") val backend: String,
    @SerialName("s") val startedAtUnixMs: Long,
    @SerialName("a") val ageMs: Long,
    @SerialName("q") val suspects: List<SuspectRecord>,
)

@Serializable
private class SuspectRecord(
    @SerialName("t") val sentBeforeMs: Long,
    @SerialName("p") val parts: List<String>,
)

@Serializable
private class ClearanceRecord(
    @SerialName("b") val backend: String,
    @SerialName("s") val startedAtUnixMs: Long,
    @SerialName("p") val parts: List<String>,
)
