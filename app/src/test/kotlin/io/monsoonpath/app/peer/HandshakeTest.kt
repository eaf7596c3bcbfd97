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
        val expected: String = "b",
        val error: String? = null,
    )

    private val cases =
        listOf(
            Case("one secret", side("a", OLD), side("b", OLD)),
            Case("rotation: the acceptor signs with the old one", side("a", NEW, OLD), side("b", OLD, NEW)),
            Case("rotation: the acceptor signs with the new one", side("a", OLD, NEW), side("b", NEW, OLD)),
            Case("a newer version on one side", side("a", OLD, versions = 1..2), side("b", OLD)),
            Case("no common secret", side("a", OLD), side("b", NEW), error = "has not proved"),
            Case("another instance answers", side("a", OLD), side("c", OLD), error = "answered as c"),
            Case("no common version", side("a", OLD, versions = 2..3), side("b", OLD), error = "versions 2 to 3 are not spoken, only 1..1"),
        )

    @TestFactory
    fun `two sides agree on keys or refuse with a reason`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val error = case.error
                if (error == null) {
                    assertAgree(case)
                } else {
                    val refusal = assertFailsWith<PeerRefusedException> { run(case) }
                    assertContains(refusal.message.orEmpty(), error)
                }
            }
        }

    @Test
    fun `a connector without the secret and a replayed proof are refused`() {
        val acceptor = side("b", OLD)
        val hello = side("a", OLD).hello()
        val first = acceptor.answer(hello) as HelloAnswer.Accept
        val (_, proof) = side("a", OLD).verifyAnswer(hello, first, "b")
        val second = acceptor.answer(hello) as HelloAnswer.Accept
        assertFailsWith<PeerRefusedException> { acceptor.verifyProof(hello, second, proof) }
        assertFailsWith<PeerRefusedException> { acceptor.verifyProof(hello, first, Proof(ByteArray(32))) }
    }

    @TestFactory
    fun `a frame passes only as the next one that was sealed`() =
        listOf("changed", "repeated", "left out", "wrong key").map { fault ->
            dynamicTest(fault) {
                val key = OLD.toByteArray()
                val sealer = FrameCodec(key)
                val opener = FrameCodec(if (fault == "wrong key") NEW.toByteArray() else key)
                val payloads = List(3) { "payload $it".toByteArray() }
                val codes = payloads.map { sealer.seal(it) }
                if (fault == "repeated") opener.open(codes[0], payloads[0])
                if (fault == "changed") payloads[0][0] = 'x'.code.toByte()
                val at = if (fault == "left out") 1 else 0
                assertFailsWith<MalformedFrameException> { opener.open(codes[at], payloads[at]) }
            }
        }

    private fun assertAgree(case: Case) {
        val (connected, accepted) = run(case)
        assertContentEquals(connected.sendKey, accepted.receiveKey)
        assertContentEquals(connected.receiveKey, accepted.sendKey)
        assertEquals("a", accepted.peer.id.value)
        assertEquals("b", connected.peer.id.value)
        assertEquals(1, connected.version)
    }

    private fun run(case: Case): Pair<Session, Session> {
        val hello = case.connector.hello()
        val answer = case.acceptor.answer(hello)
        val (session, proof) = case.connector.verifyAnswer(hello, answer, case.expected)
        return session to case.acceptor.verifyProof(hello, answer as HelloAnswer.Accept, proof)
    }

    private fun side(
        id: String,
        vararg secrets: String,
        versions: IntRange = 1..1,
    ) = Handshake(PeerId(InstanceId(id), Incarnation(7)), PeerSecrets(secrets.map { it.toByteArray() }), versions)

    private companion object {
        const val OLD = "an old secret of the fleet"
        const val NEW = "a new secret of the fleet!"
    }
}
