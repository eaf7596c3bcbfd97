package io.monsoonpath.app.policy

import io.monsoonpath.app.request.RetryBudget
import io.monsoonpath.model.StageSpec
import io.monsoonpath.policy.retry.retryBudget

/** Limits retries to a tenth of the first attempts, plus a small reserve for an instance that has just started. */
internal class PolicyRetryBudget : RetryBudget {
    private val budget = retryBudget(reserve = RESERVE)

    override fun recordFirstAttempt(stage: StageSpec) = budget.recordFirstAttempt()

    override fun tryAcquire(stage: StageSpec): Boolean = budget.tryAcquire()

    private companion object {
        const val RESERVE = 10
    }
}
