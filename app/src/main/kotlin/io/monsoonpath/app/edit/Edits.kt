package io.monsoonpath.app.edit

import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.Problem
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.WorkspaceSpec
import io.monsoonpath.model.validate

/**
 * Returns the document after [edit], with the next revision and validated as a whole.
 *
 * A change that would take the last failure domain out of service, or leave a pool without a backend server that may
 * receive work, is rejected unless [force] is true.
 */
internal fun Configuration.apply(
    edit: Edit,
    force: Boolean = false,
): ValidationResult<Configuration> =
    when (val edited = change(edit)) {
        is ValidationResult.Invalid -> edited
        is ValidationResult.Valid -> edited.document.accept(before = this, force)
    }

private fun Configuration.accept(
    before: Configuration,
    force: Boolean,
): ValidationResult<Configuration> {
    val next = copy(revision = ConfigRevision(before.revision.value + 1))
    val losses = if (force) emptyList() else lossesSince(before)
    return if (losses.isEmpty()) next.validate() else ValidationResult.Invalid(losses)
}

/** Returns a problem for each pool and for the set of domains that lost their last member since [before]. */
private fun Configuration.lossesSince(before: Configuration): List<Problem> {
    val emptied = before.poolsInService() - poolsInService()
    val problems = emptied.map { Problem("$.pools", it.value, "must keep a backend server in service; --force takes it all the same") }
    val lastDomainOut = before.domains.any { !it.out } && domains.all { it.out }
    if (!lastDomainOut) return problems
    return problems + Problem("$.domains", "all out", "must keep one failure domain in service; --force takes it all the same")
}

private fun Configuration.poolsInService() = backends.filter { it.inServiceIn(this) }.mapTo(LinkedHashSet()) { it.pool }

private fun BackendSpec.inServiceIn(configuration: Configuration) = !leaving && configuration.domains.any { it.id == domain && !it.out }

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
        unknown("$.keys", edit.key)
    } else {
        ValidationResult.Valid(copy(keys = keys.map { if (it.id == edit.key) it.copy(withdrawn = true) else it }))
    }

private fun Configuration.setDomainOut(edit: Edit.SetDomainOut): ValidationResult<Configuration> =
    if (domains.none { it.id == edit.domain }) {
        unknown("$.domains", edit.domain)
    } else {
        ValidationResult.Valid(copy(domains = domains.map { if (it.id == edit.domain) it.copy(out = edit.out) else it }))
    }

private fun Configuration.setInstanceOut(edit: Edit.SetInstanceOut): ValidationResult<Configuration> {
    val others = instancesOut - edit.instance
    if (!edit.out && others.size == instancesOut.size) return unknown("$.instancesOut", edit.instance)
    return ValidationResult.Valid(copy(instancesOut = if (edit.out) others + edit.instance else others))
}

private fun Configuration.setBackendLeaving(edit: Edit.SetBackendLeaving): ValidationResult<Configuration> =
    if (backends.none { it.id == edit.backend }) {
        unknown("$.backends", edit.backend)
    } else {
        ValidationResult.Valid(copy(backends = backends.map { if (it.id == edit.backend) it.copy(leaving = edit.leaving) else it }))
    }

private fun Configuration.setWorkspace(edit: Edit.SetWorkspace): ValidationResult<Configuration> {
    val former = workspaces.firstOrNull { it.id == edit.workspace }
    if (former == null && (edit.rateMilliPerS == null || edit.burst == null)) {
        return ValidationResult.Invalid(listOf(Problem("$.workspaces", edit.workspace.value, "is new: rate and burst must be given")))
    }
    val spec = (former ?: WorkspaceSpec(edit.workspace, rateMilliPerS = 0, burst = 0)).with(edit)
    val changed = if (former == null) workspaces + spec else workspaces.map { if (it.id == spec.id) spec else it }
    return ValidationResult.Valid(copy(workspaces = changed))
}

private fun WorkspaceSpec.with(edit: Edit.SetWorkspace) =
    copy(
        rateMilliPerS = edit.rateMilliPerS ?: rateMilliPerS,
        burst = edit.burst ?: burst,
        weight = edit.weight ?: weight,
        priority = edit.priority ?: priority,
        maxRunning = edit.maxRunning ?: maxRunning,
    )

private fun unknown(
    path: String,
    id: Any,
) = ValidationResult.Invalid(listOf(Problem(path, id.toString(), "is not in the document")))
