package io.monsoonpath.app.edit

import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.Problem
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.WorkspaceSpec
import io.monsoonpath.model.validate

/**
 * Applies [edit], increments the revision and validates the resulting document as a whole.
 *
 * An edit that takes the last failure domain out of service, or that leaves a pool without a backend server in service, is
 * rejected unless [force] is true.
 */
internal fun Configuration.applyEdit(
    edit: Edit,
    force: Boolean = false,
): ValidationResult<Configuration> =
    when (val edited = change(edit)) {
        is ValidationResult.Invalid -> edited
        is ValidationResult.Valid -> edited.document.completeEdit(before = this, force)
    }

private fun Configuration.completeEdit(
    before: Configuration,
    force: Boolean,
): ValidationResult<Configuration> {
    val next = copy(revision = ConfigRevision(before.revision.value + 1))
    val losses = if (force) emptyList() else serviceLossesSince(before)
    return if (losses.isEmpty()) next.validate() else ValidationResult.Invalid(losses)
}

/**
 * Returns the problems that result from a loss of service compared with [before].
 *
 * There is one problem for each pool that lost its last backend server in service, and one if the last failure domain in
 * service was taken out.
 */
private fun Configuration.serviceLossesSince(before: Configuration): List<Problem> {
    val emptiedPools = before.poolsInService() - poolsInService()
    val problems = emptiedPools.map { Problem("$.pools", it.value, "must keep a backend server in service; use --force to override") }
    val lastDomainOut = before.domains.any { !it.out } && domains.all { it.out }
    if (!lastDomainOut) return problems
    return problems + Problem("$.domains", "all out", "must keep one failure domain in service; use --force to override")
}

private fun Configuration.poolsInService() = backends.filter { it.isInServiceIn(this) }.mapTo(LinkedHashSet()) { it.pool }

private fun BackendSpec.isInServiceIn(configuration: Configuration) = !leaving && configuration.domains.any { it.id == domain && !it.out }

private fun Configuration.change(edit: Edit): ValidationResult<Configuration> =
    when (edit) {
        is Edit.IssueKey -> ValidationResult.Valid(copy(keys = keys + edit.key))
        is Edit.WithdrawKey -> withdrawKey(edit)
        is Edit.SetDomainOut -> setDomainOut(edit)
        is Edit.SetInstanceOut -> setInstanceOut(edit)
        is Edit.SetBackendLeaving -> setBackendLeaving(edit)
        is Edit.SetWorkspace -> setWorkspace(edit)
    }

private fun Configuration.withdrawKey(edit: Edit.WithdrawKey): ValidationResult<Configuration> =
    if (keys.none { it.id == edit.key }) {
        unknownId("$.keys", edit.key)
    } else {
        ValidationResult.Valid(copy(keys = keys.map { if (it.id == edit.key) it.copy(withdrawn = true) else it }))
    }

private fun Configuration.setDomainOut(edit: Edit.SetDomainOut): ValidationResult<Configuration> =
    if (domains.none { it.id == edit.domain }) {
        unknownId("$.domains", edit.domain)
    } else {
        ValidationResult.Valid(copy(domains = domains.map { if (it.id == edit.domain) it.copy(out = edit.out) else it }))
    }

private fun Configuration.setInstanceOut(edit: Edit.SetInstanceOut): ValidationResult<Configuration> {
    val otherInstancesOut = instancesOut - edit.instance
    if (!edit.out && otherInstancesOut.size == instancesOut.size) return unknownId("$.instancesOut", edit.instance)
    return ValidationResult.Valid(copy(instancesOut = if (edit.out) otherInstancesOut + edit.instance else otherInstancesOut))
}

private fun Configuration.setBackendLeaving(edit: Edit.SetBackendLeaving): ValidationResult<Configuration> =
    if (backends.none { it.id == edit.backend }) {
        unknownId("$.backends", edit.backend)
    } else {
        ValidationResult.Valid(copy(backends = backends.map { if (it.id == edit.backend) it.copy(leaving = edit.leaving) else it }))
    }

private fun Configuration.setWorkspace(edit: Edit.SetWorkspace): ValidationResult<Configuration> {
    val existing = workspaces.firstOrNull { it.id == edit.workspace }
    if (existing == null && (edit.rateMilliPerS == null || edit.burst == null)) {
        return ValidationResult.Invalid(listOf(Problem("$.workspaces", edit.workspace.value, "is new: rate and burst are required")))
    }
    val spec = (existing ?: WorkspaceSpec(edit.workspace, rateMilliPerS = 0, burst = 0)).withChanges(edit)
    val changed = if (existing == null) workspaces + spec else workspaces.map { if (it.id == spec.id) spec else it }
    return ValidationResult.Valid(copy(workspaces = changed))
}

private fun WorkspaceSpec.withChanges(edit: Edit.SetWorkspace) =
    copy(
        rateMilliPerS = edit.rateMilliPerS ?: rateMilliPerS,
        burst = edit.burst ?: burst,
        weight = edit.weight ?: weight,
        priority = edit.priority ?: priority,
        maxRunning = edit.maxRunning ?: maxRunning,
    )

private fun unknownId(
    path: String,
    id: Any,
) = ValidationResult.Invalid(listOf(Problem(path, id.toString(), "is not in the document")))
