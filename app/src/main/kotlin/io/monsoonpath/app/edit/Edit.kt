package io.monsoonpath.app.edit

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec
import io.monsoonpath.model.WorkspaceId

/** A change that an operator makes to a configuration document. */
internal sealed interface Edit {
    /** Adds an API key. The document contains only the salted hash of the key. */
    data class IssueKey(
        val key: KeySpec,
    ) : Edit

    /** Revokes an API key permanently. The key stays in the document, marked as withdrawn. */
    data class WithdrawKey(
        val key: KeyId,
    ) : Edit

    /** Takes a failure domain out of service or returns it to service. */
    data class SetDomainOut(
        val domain: FailureDomain,
        val out: Boolean,
    ) : Edit

    /** Takes an entry instance out of service or returns it to service. */
    data class SetInstanceOut(
        val instance: InstanceId,
        val out: Boolean,
    ) : Edit

    /** Marks a backend server as leaving or removes that mark. */
    data class SetBackendLeaving(
        val backend: BackendId,
        val leaving: Boolean,
    ) : Edit

    /** Changes or adds a workspace. A null value leaves the field unchanged; a new workspace needs a rate and a burst. */
    data class SetWorkspace(
        val workspace: WorkspaceId,
        val rateMilliPerS: Long? = null,
        val burst: Int? = null,
        val weight: Int? = null,
        val priority: Int? = null,
        val maxRunning: Int? = null,
    ) : Edit
}
