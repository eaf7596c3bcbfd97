package io.monsoonpath.coordination.crash

import io.monsoonpath.coordination.message.chunkedBySize
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

    /** A part of the report on a crash, which is too long for one datagram. */
    class Fragment(
        val value: ReportFragment,
    ) : EvidenceMessage

    /** Like [Digest], from an instance that may lack evidence. A receiver that lacks none also replies with [CatchUpReply]. */
    class CatchUpRequest(
        val digest: Long,
    ) : EvidenceMessage

    /** States that all evidence of the sender was sent before this message. */
    data object CatchUpReply : EvidenceMessage
}

/**
 * Encodes evidence for datagrams. Times are sent as ages, because the clocks of instances are not compared.
 *
 * A report that does not fit into one datagram is sent in fragments. All instances split a report in the same way, so that fragments
 * that were received from several of them, or at different times, complete each other.
 */
@OptIn(ExperimentalSerializationApi::class)
object EvidenceCodec {
    /** Returns the datagrams for [message], each of [MAX_DATAGRAM_BYTES] at most. Only evidence may need several. */
    fun encode(
        message: EvidenceMessage,
        nowMs: Long,
    ): List<ByteArray> =
        when (message) {
            is EvidenceMessage.Digest -> listOf(encode(Datagram(digest = message.value)))
            is EvidenceMessage.Evidence -> encode(message.delta, nowMs)
            is EvidenceMessage.Fragment -> listOf(encode(message.value, emptySet(), nowMs))
            is EvidenceMessage.CatchUpRequest -> listOf(encode(Datagram(catchUpDigest = message.digest)))
            EvidenceMessage.CatchUpReply -> listOf(encode(Datagram(isCatchUpReply = true)))
        }

    /**
     * Parts of a report are sent together with their clearances. If these could be lost or delayed separately, the receiver would suspect
     * parts that others know to be harmless, and refuse sound requests.
     */
    private fun encode(
        delta: EvidenceDelta,
        nowMs: Long,
    ): List<ByteArray> {
        val clearedParts = delta.clearances.groupBy({ it.crash }, { it.parts }).mapValues { (_, parts) -> parts.flatten().toSet() }
        val reportedParts = delta.reports.groupBy({ it.crash }, { it.parts }).mapValues { (_, parts) -> parts.flatten().toSet() }
        val reports =
            delta.reports.flatMap { report ->
                fragmentsOf(report).map { encode(it, clearedParts[report.crash].orEmpty(), nowMs) }
            }
        val clearances =
            clearedParts
                .flatMap { (crash, parts) ->
                    (parts - reportedParts[crash].orEmpty())
                        .sorted()
                        .chunkedBySize(MAX_PART_BYTES, ::bytesOf)
                        .map { Clearance(crash, it.toSet()) }
                }.map { encode(Datagram(clearance = encode(it))) }
        return reports + clearances
    }

    /** Splits [report] into fragments with [MAX_PART_BYTES] of parts at most, one if it is short. */
    private fun fragmentsOf(report: CrashReport): List<ReportFragment> {
        val parts =
            report.suspects.withIndex().flatMap { (number, suspect) ->
                suspect.parts.sorted().map { number to it }
            }
        val chunks = parts.chunkedBySize(MAX_PART_BYTES) { (_, part) -> bytesOf(part) }
        return chunks.mapIndexed { index, chunk ->
            val suspects =
                chunk.groupBy({ it.first }, { it.second }).map { (number, parts) ->
                    ReportedSuspect(report.suspects[number].sentBeforeMs, parts.toSet())
                }
            ReportFragment(report.copy(suspects = suspects), index, chunks.size, firstSuspect = chunk.first().first)
        }
    }

    private fun encode(
        fragment: ReportFragment,
        clearedParts: Set<PromptPartId>,
        nowMs: Long,
    ): ByteArray {
        val cleared = (clearedParts intersect fragment.report.parts) + fragment.clearedParts
        val clearance = Clearance(fragment.report.crash, cleared).takeIf { cleared.isNotEmpty() }
        return encode(Datagram(report = recordOf(fragment, nowMs), clearance = clearance?.let(::encode)))
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
            datagram.report != null -> decode(datagram.report, clearances, nowMs)
            clearances.isNotEmpty() -> EvidenceMessage.Evidence(EvidenceDelta(clearances = clearances))
            else -> null
        }
    }

    private fun encode(datagram: Datagram): ByteArray = Cbor.encodeToByteArray(datagram)

    private fun recordOf(
        fragment: ReportFragment,
        nowMs: Long,
    ): ReportRecord {
        val report = fragment.report
        return ReportRecord(
            report.id.host,
            report.id.incarnation,
            report.id.number,
            report.crash.backend.value,
            report.crash.startedAtUnixMs,
            ageMs = nowMs - report.atMs,
            report.suspects.map { SuspectRecord(it.sentBeforeMs, it.parts.map(PromptPartId::value)) },
            fragment.index,
            fragment.count,
            fragment.firstSuspect,
        )
    }

    private fun encode(clearance: Clearance) =
        ClearanceRecord(clearance.crash.backend.value, clearance.crash.startedAtUnixMs, clearance.parts.map(PromptPartId::value))

    private fun decode(
        record: ReportRecord,
        clearances: List<Clearance>,
        nowMs: Long,
    ): EvidenceMessage? {
        val isValid =
            record.ageMs >= 0 &&
                record.fragmentCount in 1..MAX_FRAGMENTS &&
                record.fragment in 0 until record.fragmentCount &&
                record.firstSuspect >= 0 &&
                record.firstSuspect + record.suspects.size <= MAX_SUSPECTS
        if (!isValid) return null
        val report =
            CrashReport(
                ReportId(record.host, record.incarnation, record.number),
                CrashId(BackendId(record.backend), record.startedAtUnixMs),
                atMs = nowMs - record.ageMs,
                record.suspects.map { ReportedSuspect(it.sentBeforeMs, it.parts.mapTo(HashSet(), ::PromptPartId)) },
            )
        if (record.fragmentCount == 1) return EvidenceMessage.Evidence(EvidenceDelta(listOf(report), clearances))
        val clearedParts = clearances.filter { it.crash == report.crash }.flatMapTo(HashSet()) { it.parts }
        return EvidenceMessage.Fragment(
            ReportFragment(report, record.fragment, record.fragmentCount, record.firstSuspect, clearedParts),
        )
    }

    private fun decode(record: ClearanceRecord) =
        Clearance(CrashId(BackendId(record.backend), record.startedAtUnixMs), record.parts.mapTo(HashSet(), ::PromptPartId))

    /** The bytes of [part] in a datagram: in UTF-8, with its length. */
    private fun bytesOf(part: PromptPartId): Int = part.value.sumOf { if (it.code < FIRST_LONG_CODE) 1 else MAX_CHAR_BYTES } + LENGTH_BYTES

    /** The longest datagram that is received. */
    const val MAX_DATAGRAM_BYTES = 2_048

    /** The maximum number of suspects of one report. */
    const val MAX_SUSPECTS = 8

    /** The maximum number of fragments of one report. A suspect of 300 KB fits. */
    const val MAX_FRAGMENTS = 512

    /** The parts of a datagram, which may be sent twice: in a report and in its clearance. The other fields have 700 bytes at most. */
    private const val MAX_PART_BYTES = 600
    private const val LENGTH_BYTES = 2
    private const val FIRST_LONG_CODE = 0x80
    private const val MAX_CHAR_BYTES = 3
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
    @SerialName("f") val fragment: Int = 0,
    @SerialName("c") val fragmentCount: Int = 1,
    @SerialName("x") val firstSuspect: Int = 0,
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
