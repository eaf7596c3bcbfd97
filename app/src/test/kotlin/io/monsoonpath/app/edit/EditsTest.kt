package io.monsoonpath.app.edit

import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.app.request.findKeyOrNull
import io.monsoonpath.app.standin.demoConfiguration
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.WorkspaceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class EditsTest {
    private val initial = demoConfiguration(mapOf("encode" to "http://127.0.0.1:9001"))

    private class Case(
        val name: String,
        val edit: Edit,
        val force: Boolean,
        val expected: List<String>,
    )

    private val accepted =
        listOf(
            Case("instance out", Edit.SetInstanceOut(E1, out = true), false, listOf("$.instancesOut[e1]: (none) -> \"e1\"")),
            Case("burst of a workspace", Edit.SetWorkspace(HINGES, burst = 7), false, listOf("$.workspaces[hinges].burst: 100 -> 7")),
            Case("key revoked", Edit.WithdrawKey(KeyId("demo-key")), false, listOf("$.keys[demo-key].withdrawn: false -> true")),
            Case("failure domain out by force", Edit.SetDomainOut(FD1, out = true), true, listOf("$.domains[fd1].out: false -> true")),
            Case("leave by force", Edit.SetBackendLeaving(B1, leaving = true), true, listOf("$.backends[encode-1].leaving: false -> true")),
        )

    @TestFactory
    fun `an accepted edit changes only its target and increments the revision`(): List<DynamicTest> =
        accepted.map { case ->
            dynamicTest(case.name) {
                val edited = assertIs<ValidationResult.Valid<Configuration>>(initial.applyEdit(case.edit, case.force)).document
                assertEquals(listOf("$.revision: 1 -> 2") + case.expected, differences(initial, edited))
            }
        }

    private val rejected =
        listOf(
            Case("last failure domain", Edit.SetDomainOut(FD1, out = true), false, listOf("$.pools", "$.domains")),
            Case("last backend server", Edit.SetBackendLeaving(B1, leaving = true), false, listOf("$.pools")),
            Case("unknown failure domain", Edit.SetDomainOut(FailureDomain("x"), out = true), false, listOf("$.domains")),
            Case("unknown backend server", Edit.SetBackendLeaving(BackendId("x"), leaving = true), true, listOf("$.backends")),
            Case("unknown key", Edit.WithdrawKey(KeyId("x")), true, listOf("$.keys")),
            Case("instance that is not out", Edit.SetInstanceOut(E1, out = false), true, listOf("$.instancesOut")),
            Case("new workspace without a rate", Edit.SetWorkspace(WorkspaceId("w"), burst = 1), true, listOf("$.workspaces")),
            Case("burst out of range", Edit.SetWorkspace(HINGES, burst = 0), true, listOf("$.workspaces[0].burst")),
        )

    @TestFactory
    fun `an invalid edit is rejected with the paths of its problems`(): List<DynamicTest> =
        rejected.map { case ->
            dynamicTest(case.name) {
                val problems = assertIs<ValidationResult.Invalid>(initial.applyEdit(case.edit, case.force)).problems
                assertEquals(case.expected, problems.map { it.path })
            }
        }

    @Test
    fun `an issued key is accepted and the document does not contain its secret part`() {
        val key = issueKey(HINGES, Random(1))
        val edited = assertIs<ValidationResult.Valid<Configuration>>(initial.applyEdit(Edit.IssueKey(key.spec))).document
        assertEquals(key.spec, ConfigurationView(edited).findKeyOrNull(key.secret))
        assertNull(ConfigurationView(edited).findKeyOrNull(key.secret + "x"))
        assertEquals(false, key.secret.substringAfter('.') in edited.toString())
    }

    private companion object {
        val E1 = InstanceId("e1")
        val FD1 = FailureDomain("fd1")
        val B1 = BackendId("encode-1")
        val HINGES = WorkspaceId("hinges")
    }
}
