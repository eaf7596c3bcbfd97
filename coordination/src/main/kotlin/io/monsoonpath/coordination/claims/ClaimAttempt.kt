package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.message.ClaimKey
import io.monsoonpath.coordination.message.ClaimReply
import io.monsoonpath.coordination.message.ClaimVerdict
import io.monsoonpath.model.InstanceId

/** A claim as the process that asked for it sees it. */
internal class ClaimAttempt(
    val id: GrantId,
    val key: ClaimKey,
    val startedMs: Long,
    val deadlineMs: Long,
    private val needsQuorum: Boolean,
) {
    private val answers = HashMap<InstanceId, ClaimReply>()
    private val contacted = HashSet<InstanceId>()

    /** When the replicas are asked again. */
    var nextSendMs = startedMs

    /** Whether the claim was granted; from then on the request may have been sent. */
    var isGranted = false

    /** The replicas that were asked at least once, and so may hold the claim. */
    val contactedReplicas: Set<InstanceId> get() = contacted

    fun markContacted(replica: InstanceId) {
        contacted += replica
    }

    fun record(
        from: InstanceId,
        answer: ClaimReply,
    ) {
        val previous = answers[from]
        if (previous == null || answer.revision >= previous.revision) answers[from] = answer
    }

    /** Whether enough replicas granted under one list. */
    fun hasQuorum(): Boolean {
        val grants = answers.values.filter { it.verdict == ClaimVerdict.GRANTED }
        return grants.groupBy { it.revision }.values.any { group -> !needsQuorum || group.size >= quorumSize(group.first().homes) }
    }

    /** The answer that tells most of another claim on the key, or null if no replica knows one. */
    fun conflict(): ClaimReply? = answers.values.filter { it.verdict == ClaimVerdict.HELD }.maxByOrNull { it.phase }

    /** Whether some replica has no room. */
    fun isFull(): Boolean = answers.values.any { it.verdict == ClaimVerdict.FULL }

    /** Whether too few of [replicas] are left to grant, however often the others are asked. */
    fun isQuorumImpossible(replicas: List<InstanceId>): Boolean {
        val refusing = replicas.count { answers[it]?.verdict.let { v -> v == ClaimVerdict.HELD || v == ClaimVerdict.FULL } }
        return replicas.isNotEmpty() && replicas.size - refusing < quorumSize(replicas.size)
    }

    /** Whether [replica] has to be asked again: it has not granted under [revision]. */
    fun needsAnswerFrom(
        replica: InstanceId,
        revision: Long,
    ): Boolean = answers[replica].let { it == null || it.verdict == ClaimVerdict.ABSTAINED || it.revision < revision }

    private fun quorumSize(replicaCount: Int) = replicaCount / 2 + 1
}
