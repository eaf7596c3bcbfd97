package io.monsoonpath.app.edit

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec
import io.monsoonpath.model.WorkspaceId

/** A change that an operator makes to a configuration document. */
internal sealed interface Edit {
    /** Adds a key, of which the document keeps only the hash. */
    data class IssueKey(
        val key: KeySpec,
    ) : Edit

    /** Withdraws a key for good. */
    data class WithdrawKey(
        val key: KeyId,
    ) : Edit

    /** Takes a failure domain out of service or back in. */
    data class SetDomainOut(
        val domain: FailureDomain,
        val out: Boolean,
    ) : Edit

    /** Takes an entry instance out of service or back in. */
    data class SetInstanceOut(
        val instance: InstanceId,
        val out: Boolean,
    ) : Edit

    /** Lets a backend server leave or return. */
    data class SetBackendLeaving(
        val backend: BackendId,
        val leaving: Boolean,
    ) : Edit

    /** Changes or adds a workspace; null leaves a value as it is. */
    data class SetWorkspace(
        val workspace: WorkspaceId,
        val rateMilliPerS: Long? = null,
        val burst: Int? = null,
        val weight: Int? = null,
        val priority: Int? = null,
        val maxRunning: Int? = null,
    ) : Edit
}
