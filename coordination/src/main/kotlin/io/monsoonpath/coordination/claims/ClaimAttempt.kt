package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.message.ClaimKey
import io.monsoonpath.coordination.message.ClaimReply
import io.monsoonpath.coordination.message.ClaimVerdict
import io.monsoonpath.model.InstanceId

/**
 * The state of one claim in the process that requests it.
 *
 * @property startedMs when the claim was requested
 * @property deadlineMs when the claim is given up if it has no quorum
 * @property needsQuorum whether a majority of the replicas has to grant; if false, one grant is enough
 */
internal class ClaimAttempt(
    val id: GrantId,
    val key: ClaimKey,
    val startedMs: Long,
    val deadlineMs: Long,
    private val needsQuorum: Boolean,
) {
    private val answers = HashMap<InstanceId, ClaimReply>()
    private val contacted = HashSet<InstanceId>()

    /** When the claim is next sent to the replicas that have not granted it. */
    var nextSendMs = startedMs

    /** Whether the claim was granted. Once it is, the request may have been sent. */
    var isGranted = false

    /** The replicas that were sent the claim at least once and therefore may store it. */
    val contactedReplicas: Set<InstanceId> get() = contacted

    fun markContacted(replica: InstanceId) {
        contacted += replica
    }

    /** Stores [answer] unless an answer of the same replica under a newer instance list is stored. */
    fun record(
        from: InstanceId,
        answer: ClaimReply,
    ) {
        val previous = answers[from]
        if (previous == null || answer.revision >= previous.revision) answers[from] = answer
    }

    /** Returns whether a majority of the replicas granted the claim under the same instance list. */
    fun hasQuorum(): Boolean {
        val grants = answers.values.filter { it.verdict == ClaimVerdict.GRANTED }
        return grants.groupBy { it.revision }.values.any { group -> !needsQuorum || group.size >= quorumSize(group.first().homes) }
    }

    /** Returns the answer with the latest phase of another claim on the key, or null if no replica reported one. */
    fun conflict(): ClaimReply? = answers.values.filter { it.verdict == ClaimVerdict.HELD }.maxByOrNull { it.phase }

    /** Returns whether at least one replica refused the claim because its table is full. */
    fun isFull(): Boolean = answers.values.any { it.verdict == ClaimVerdict.FULL }

    /** Returns whether so many of [replicas] refused that the rest cannot form a majority. */
    fun isQuorumImpossible(replicas: List<InstanceId>): Boolean {
        val refusing = replicas.count { answers[it]?.verdict.let { v -> v == ClaimVerdict.HELD || v == ClaimVerdict.FULL } }
        return replicas.isNotEmpty() && replicas.size - refusing < quorumSize(replicas.size)
    }

    /** Returns whether [replica] has not answered, has abstained, or has answered under a list older than [revision]. */
    fun needsAnswerFrom(
        replica: InstanceId,
        revision: Long,
    ): Boolean = answers[replica].let { it == null || it.verdict == ClaimVerdict.ABSTAINED || it.revision < revision }

    private fun quorumSize(replicaCount: Int) = replicaCount / 2 + 1
}
