package io.monsoonpath.app.peer

import io.monsoonpath.coordination.PeerId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import java.security.MessageDigest
import java.security.SecureRandom

/** The versions of the protocol that this program supports; both sides use the highest version that both support. */
internal val PROTOCOL_VERSIONS = 1..1

/** The first message of the handshake, sent by the connecting side. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Hello(
    @SerialName("p") val protocol: String,
    @SerialName("a") val minVersion: Int,
    @SerialName("z") val maxVersion: Int,
    @SerialName("i") val id: PeerId,
    @ByteString
    @SerialName("n")
    val nonce: ByteArray,
)

/** The accepting side's answer to [Hello]. */
@Serializable
internal sealed interface HelloAnswer {
    /** Accepts the connection with [version] and proves that the accepting side knows the secret. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("ok")
    class Accept(
        @SerialName("v") val version: Int,
        @SerialName("i") val id: PeerId,
        @ByteString
        @SerialName("n")
        val nonce: ByteArray,
        @ByteString
        @SerialName("c")
        val proof: ByteArray,
    ) : HelloAnswer

    /** Refuses the connection for [reason]. */
    @Serializable
    @SerialName("no")
    class Refuse(
        @SerialName("r") val reason: String,
    ) : HelloAnswer
}

/** The proof that the connecting side knows the secret. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Proof(
    @ByteString
    @SerialName("c")
    val proof: ByteArray,
)

/** The result of a handshake: the identity of the peer, the protocol version, and a MAC key for each direction. */
internal class Session(
    val peer: PeerId,
    val version: Int,
    val sendKey: ByteArray,
    val receiveKey: ByteArray,
)

/** Thrown when this process refuses a peer during the handshake, or the peer refuses this process. */
internal class PeerRefusedException(
    message: String,
) : Exception(message)

/**
 * Implements the steps of the handshake for the process [self], without any I/O.
 *
 * Both sides prove that they know a secret by an HMAC over the transcript of the handshake, which contains a nonce of each side.
 */
internal class Handshake(
    private val self: PeerId,
    private val secrets: PeerSecrets,
    private val versions: IntRange = PROTOCOL_VERSIONS,
    private val random: SecureRandom = SecureRandom(),
) {
    /** Returns the first message of the connecting side. */
    fun hello(): Hello = Hello(PROTOCOL, versions.first, versions.last, self, nonce())

    /** Answers [hello] on the accepting side. */
    fun answer(hello: Hello): HelloAnswer {
        val version = minOf(versions.last, hello.maxVersion)
        return when {
            hello.protocol != PROTOCOL -> HelloAnswer.Refuse("the protocol is ${hello.protocol}, not $PROTOCOL")
            hello.nonce.size != NONCE_BYTES -> HelloAnswer.Refuse("the nonce has ${hello.nonce.size} bytes, not $NONCE_BYTES")
            version < maxOf(versions.first, hello.minVersion) ->
                HelloAnswer.Refuse("versions ${hello.minVersion} to ${hello.maxVersion} are not spoken, only $versions")
            else -> accept(hello, version)
        }
    }

    private fun accept(
        hello: Hello,
        version: Int,
    ): HelloAnswer.Accept {
        val nonce = nonce()
        return HelloAnswer.Accept(
            version,
            self,
            nonce,
            hmac(secrets.signingSecret, ACCEPTOR_LABEL, transcript(hello, version, self, nonce)),
        )
    }

    /**
     * Verifies [answer] on the connecting side and returns the session and the proof to send.
     *
     * @throws PeerRefusedException if the peer refused the connection, chose an unsupported version, identified itself as another
     *   instance than [expectedId], or did not prove that it knows a valid secret
     */
    fun verifyAnswer(
        hello: Hello,
        answer: HelloAnswer,
        expectedId: String,
    ): Pair<Session, Proof> {
        val accept =
            when (answer) {
                is HelloAnswer.Refuse -> throw PeerRefusedException("$expectedId refused the connection: ${answer.reason}")
                is HelloAnswer.Accept -> answer
            }
        val transcript = transcript(hello, accept.version, accept.id, accept.nonce)
        val secret = secrets.matchOrNull(accept.proof, ACCEPTOR_LABEL, transcript)
        val problem =
            when {
                accept.version !in versions -> "chose version ${accept.version}, not one of $versions"
                accept.id.id.value != expectedId -> "answered as ${accept.id.id}"
                else -> "has not proved that it has a peer secret in force"
            }
        if (secret == null ||
            accept.version !in versions ||
            accept.id.id.value != expectedId
        ) {
            throw PeerRefusedException("$expectedId $problem")
        }
        val session =
            Session(accept.id, accept.version, hmac(secret, TO_ACCEPTOR_LABEL, transcript), hmac(secret, TO_CONNECTOR_LABEL, transcript))
        return session to Proof(hmac(secret, CONNECTOR_LABEL, transcript))
    }

    /**
     * Verifies [proof] on the accepting side and returns the session.
     *
     * @throws PeerRefusedException if the peer did not prove that it knows the secret
     */
    fun verifyProof(
        hello: Hello,
        accept: HelloAnswer.Accept,
        proof: Proof,
    ): Session {
        val transcript = transcript(hello, accept.version, accept.id, accept.nonce)
        val secret = secrets.signingSecret
        if (!MessageDigest.isEqual(hmac(secret, CONNECTOR_LABEL, transcript), proof.proof)) {
            throw PeerRefusedException("${hello.id.id} has not proved that it has a peer secret in force")
        }
        return Session(hello.id, accept.version, hmac(secret, TO_CONNECTOR_LABEL, transcript), hmac(secret, TO_ACCEPTOR_LABEL, transcript))
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun transcript(
        hello: Hello,
        version: Int,
        acceptor: PeerId,
        nonce: ByteArray,
    ): ByteArray =
        PeerCbor.encodeToByteArray(Hello.serializer(), hello) +
            PeerCbor.encodeToByteArray(HelloAnswer.Accept.serializer(), HelloAnswer.Accept(version, acceptor, nonce, ByteArray(0)))

    private fun nonce() = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }

    private companion object {
        const val PROTOCOL = "monsoonpath"
        const val NONCE_BYTES = 16
        val ACCEPTOR_LABEL = "acceptor".toByteArray()
        val CONNECTOR_LABEL = "connector".toByteArray()
        val TO_ACCEPTOR_LABEL = "connector-to-acceptor".toByteArray()
        val TO_CONNECTOR_LABEL = "acceptor-to-connector".toByteArray()
    }
}
