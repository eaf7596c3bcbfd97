package io.monsoonpath.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happened in a process, for the time line; no event ever holds a key. */
@Serializable
sealed interface Event {
    /** A caller's request was taken in. */
    @Serializable
    @SerialName("request-received")
    data class RequestReceived(
        val request: RequestId,
        val path: String,
    ) : Event

    /** A request passed a step, with the choice made there. */
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

    /** An attempt ended; [result] says how. */
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

    /** A whole answer left for the caller. */
    @Serializable
    @SerialName("request-answered")
    data class RequestAnswered(
        val request: RequestId,
        val tookMs: Long,
    ) : Event

    /** A message left for another instance; [messageSeq] pairs it with its arrival. */
    @Serializable
    @SerialName("message-sent")
    data class MessageSent(
        val to: InstanceId,
        val messageSeq: Long,
        val kind: String,
    ) : Event

    /** A message from another instance arrived. */
    @Serializable
    @SerialName("message-received")
    data class MessageReceived(
        val from: InstanceId,
        val fromIncarnation: Incarnation,
        val messageSeq: Long,
        val kind: String,
    ) : Event

    /** A configuration came into force. */
    @Serializable
    @SerialName("configuration-adopted")
    data class ConfigurationAdopted(
        val revision: ConfigRevision,
        val source: String,
    ) : Event

    /** An instance list came into force. */
    @Serializable
    @SerialName("list-adopted")
    data class InstanceListAdopted(
        val revision: ListRevision,
        val source: String,
    ) : Event

    /** A document was rejected whole. */
    @Serializable
    @SerialName("document-rejected")
    data class DocumentRejected(
        val document: String,
        val problems: List<String>,
    ) : Event

    /** A controller changed its state in a way that operators want to see, such as a lost right or a cold backend server. */
    @Serializable
    @SerialName("state-changed")
    data class StateChanged(
        val subject: String,
        val state: String,
        val detail: String = "",
    ) : Event
}

/**
 * An event with its place in the stream of its process.
 *
 * @property seq the event's number in its process, from 1 without gaps
 * @property atMs the process's own clock, comparable only within the process
 */
@Serializable
data class EventRecord(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val seq: Long,
    val atMs: Long,
    val event: Event,
)

/** Takes events; implementations neither block nor throw. */
fun interface EventSink {
    /** Notes [event]. */
    fun emit(event: Event)
}
