package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.message.ClaimAnswer
import io.monsoonpath.coordination.message.ClaimKey
import io.monsoonpath.coordination.message.ClaimVerdict
import io.monsoonpath.model.InstanceId

/** A claim as the process that asked for it sees it. */
internal class ClaimAttempt(
    val id: GrantId,
    val key: ClaimKey,
    val askedMs: Long,
    val giveUpMs: Long,
    private val needsQuorum: Boolean,
) {
    private val answers = HashMap<InstanceId, ClaimAnswer>()
    private val asked = HashSet<InstanceId>()

    /** When the homes are asked again. */
    var nextAskMs = askedMs

    /** Whether the claim was granted; from then on the request may have been sent. */
    var isGranted = false

    /** The homes that were asked at least once, and so may hold the claim. */
    val askedHomes: Set<InstanceId> get() = asked

    fun noteAsked(home: InstanceId) {
        asked += home
    }

    fun onAnswer(
        from: InstanceId,
        answer: ClaimAnswer,
    ) {
        val before = answers[from]
        if (before == null || answer.revision >= before.revision) answers[from] = answer
    }

    /** Whether enough homes granted under one list. */
    fun hasQuorum(): Boolean {
        val grants = answers.values.filter { it.verdict == ClaimVerdict.GRANTED }
        return grants.groupBy { it.revision }.values.any { same -> !needsQuorum || same.size >= quorumOf(same.first().homes) }
    }

    /** The answer that tells most of another claim on the key, or null if no home knows one. */
    fun held(): ClaimAnswer? = answers.values.filter { it.verdict == ClaimVerdict.HELD }.maxByOrNull { it.phase }

    /** Whether some home has no room. */
    fun isFull(): Boolean = answers.values.any { it.verdict == ClaimVerdict.FULL }

    /** Whether too few of [homes] are left to grant, however often the others are asked. */
    fun isHopeless(homes: List<InstanceId>): Boolean {
        val refusing = homes.count { answers[it]?.verdict.let { v -> v == ClaimVerdict.HELD || v == ClaimVerdict.FULL } }
        return homes.isNotEmpty() && homes.size - refusing < quorumOf(homes.size)
    }

    /** Whether [home] has to be asked again: it has not granted under [revision]. */
    fun needs(
        home: InstanceId,
        revision: Long,
    ): Boolean = answers[home].let { it == null || it.verdict == ClaimVerdict.ABSTAINED || it.revision < revision }

    private fun quorumOf(homes: Int) = homes / 2 + 1
}
