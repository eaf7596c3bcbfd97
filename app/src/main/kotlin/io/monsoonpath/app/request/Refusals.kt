package io.monsoonpath.app.request

import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step

/** Returns a refusal. By default, it states that no part of the request has run. */
internal fun refused(
    reason: RefusalReason,
    step: Step,
    detail: String,
    retryAfterMs: Long? = null,
    peer: String? = null,
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
) = Outcome.Refused(Refusal(reason, ran, step, detail, peer, retryAfterMs = retryAfterMs))
