package io.monsoonpath.app.peer

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class HandshakeTest {
    private class Case(
        val name: String,
        val connector: Handshake,
        val acceptor: Handshake,
        val expectedId: String = "b",
        val error: String? = null,
    )

    private val cases =
        listOf(
            Case("the same secret", handshake("a", OLD), handshake("b", OLD)),
            Case("rotation: the acceptor signs with the old secret", handshake("a", NEW, OLD), handshake("b", OLD, NEW)),
            Case("rotation: the acceptor signs with the new secret", handshake("a", OLD, NEW), handshake("b", NEW, OLD)),
            Case("a newer version on one side", handshake("a", OLD, versions = 1..2), handshake("b", OLD)),
            Case("no common secret", handshake("a", OLD), handshake("b", NEW), error = "has not proved"),
            Case("another instance answers", handshake("a", OLD), handshake("c", OLD), error = "answered as c"),
            Case(
                "no common version",
                handshake("a", OLD, versions = 2..3),
                handshake("b", OLD),
                error = "versions 2 to 3 are not spoken, only 1..1",
            ),
        )

    @TestFactory
    fun `both sides derive the same keys or the connection is refused with a reason`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val error = case.error
                if (error == null) {
                    assertKeysMatch(case)
                } else {
                    val refusal = assertFailsWith<PeerRefusedException> { runHandshake(case) }
                    assertContains(refusal.message.orEmpty(), error)
                }
            }
        }

    @Test
    fun `a connector without the secret and a replayed proof are refused`() {
        val acceptor = handshake("b", OLD)
        val hello = handshake("a", OLD).hello()
        val first = acceptor.answer(hello) as HelloAnswer.Accept
        val (_, proof) = handshake("a", OLD).verifyAnswer(hello, first, "b")
        val second = acceptor.answer(hello) as HelloAnswer.Accept
        assertFailsWith<PeerRefusedException> { acceptor.verifyProof(hello, second, proof) }
        assertFailsWith<PeerRefusedException> { acceptor.verifyProof(hello, first, Proof(ByteArray(32))) }
    }

    @TestFactory
    fun `a frame is accepted only if it is the next one that was signed`() =
        listOf("changed", "repeated", "skipped", "wrong key").map { fault ->
            dynamicTest(fault) {
                val key = OLD.toByteArray()
                val signer = FrameAuthenticator(key)
                val verifier = FrameAuthenticator(if (fault == "wrong key") NEW.toByteArray() else key)
                val payloads = List(3) { "payload $it".toByteArray() }
                val macs = payloads.map { signer.sign(it) }
                if (fault == "repeated") verifier.verify(macs[0], payloads[0])
                if (fault == "changed") payloads[0][0] = 'x'.code.toByte()
                val at = if (fault == "skipped") 1 else 0
                assertFailsWith<MalformedFrameException> { verifier.verify(macs[at], payloads[at]) }
            }
        }

    private fun assertKeysMatch(case: Case) {
        val (connected, accepted) = runHandshake(case)
        assertContentEquals(connected.sendKey, accepted.receiveKey)
        assertContentEquals(connected.receiveKey, accepted.sendKey)
        assertEquals("a", accepted.peer.id.value)
        assertEquals("b", connected.peer.id.value)
        assertEquals(1, connected.version)
    }

    private fun runHandshake(case: Case): Pair<Session, Session> {
        val hello = case.connector.hello()
        val answer = case.acceptor.answer(hello)
        val (session, proof) = case.connector.verifyAnswer(hello, answer, case.expectedId)
        return session to case.acceptor.verifyProof(hello, answer as HelloAnswer.Accept, proof)
    }

    private fun handshake(
        id: String,
        vararg secrets: String,
        versions: IntRange = 1..1,
    ) = Handshake(PeerId(InstanceId(id), Incarnation(7)), PeerSecrets(secrets.map { it.toByteArray() }), versions)

    private companion object {
        const val OLD = "an old secret of the fleet"
        const val NEW = "a new secret of the fleet!"
    }
}
