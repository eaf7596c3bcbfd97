package io.monsoonpath.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Represents something that happened in a process, for the timeline. No event contains an API key. */
@Serializable
sealed interface Event {
    /** A request of a caller was received. */
    @Serializable
    @SerialName("request-received")
    data class RequestReceived(
        val request: RequestId,
        val path: String,
    ) : Event

    /** A request completed a processing step; [detail] describes the decision that was made. */
    @Serializable
    @SerialName("decided")
    data class Decided(
        val request: RequestId,
        val step: Step,
        val detail: String,
    ) : Event

    /** A request was refused. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val request: RequestId,
        val refusal: Refusal,
    ) : Event

    /** An attempt was sent to a backend server. */
    @Serializable
    @SerialName("attempt-sent")
    data class AttemptSent(
        val request: RequestId,
        val stage: StageId,
        val attempt: AttemptId,
        val backend: BackendId,
    ) : Event

    /**
     * An attempt ended.
     *
     * @property result describes how the attempt ended
     * @property tookMs the duration of the attempt in milliseconds
     */
    @Serializable
    @SerialName("attempt-ended")
    data class AttemptEnded(
        val request: RequestId,
        val stage: StageId,
        val attempt: AttemptId,
        val backend: BackendId,
        val result: String,
        val tookMs: Long,
    ) : Event

    /** A request was answered completely, [tookMs] milliseconds after it was received. */
    @Serializable
    @SerialName("request-answered")
    data class RequestAnswered(
        val request: RequestId,
        val tookMs: Long,
    ) : Event

    /** A message was sent to another instance; [messageSeq] matches it with its [MessageReceived] event there. */
    @Serializable
    @SerialName("message-sent")
    data class MessageSent(
        val to: InstanceId,
        val messageSeq: Long,
        val kind: String,
    ) : Event

    /** A message was received from another instance. */
    @Serializable
    @SerialName("message-received")
    data class MessageReceived(
        val from: InstanceId,
        val fromIncarnation: Incarnation,
        val messageSeq: Long,
        val kind: String,
    ) : Event

    /** A configuration became active. */
    @Serializable
    @SerialName("configuration-adopted")
    data class ConfigurationAdopted(
        val revision: ConfigRevision,
        val source: String,
    ) : Event

    /** An instance list became active. */
    @Serializable
    @SerialName("list-adopted")
    data class InstanceListAdopted(
        val revision: ListRevision,
        val source: String,
    ) : Event

    /** A document was rejected as a whole because of [problems]. */
    @Serializable
    @SerialName("document-rejected")
    data class DocumentRejected(
        val document: String,
        val problems: List<String>,
    ) : Event

    /** The state of a controller changed in a way that matters to operators, such as a lost lease or a cold backend server. */
    @Serializable
    @SerialName("state-changed")
    data class StateChanged(
        val subject: String,
        val state: String,
        val detail: String = "",
    ) : Event
}

/**
 * An event with its position in the event stream of its process.
 *
 * @property seq the sequence number of the event within its process, starting at 1 without gaps
 * @property atMs the time of the event in milliseconds on the clock of its process; not comparable between processes
 */
@Serializable
data class EventRecord(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val seq: Long,
    val atMs: Long,
    val event: Event,
)

/** Receives events. Implementations neither block nor throw. */
fun interface EventSink {
    /** Records [event]. */
    fun emit(event: Event)
}
