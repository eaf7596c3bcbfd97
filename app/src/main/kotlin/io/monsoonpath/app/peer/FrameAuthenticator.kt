package io.monsoonpath.app.peer

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** The maximum length of the payload of a frame. */
internal const val MAX_PAYLOAD_BYTES = 1_048_576

/** The length of the message authentication code (MAC) of a frame. */
internal const val MAC_BYTES = 16

/**
 * Authenticates the frames of one direction of a connection by message authentication codes (MACs).
 *
 * Each MAC covers the sequence number of the frame on the connection, so that changed, repeated, missing and reordered frames
 * are detected.
 */
internal class FrameAuthenticator(
    key: ByteArray,
) {
    private val hmacSha256 = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(key, ALGORITHM)) }
    private var frameCount = 0L

    /** Returns the MAC of the next frame, which has [payload]. */
    fun sign(payload: ByteArray): ByteArray {
        require(payload.size <= MAX_PAYLOAD_BYTES) { "a frame payload must have at most $MAX_PAYLOAD_BYTES bytes, but has ${payload.size}" }
        hmacSha256.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(0, frameCount++))
        return hmacSha256.doFinal(payload).copyOf(MAC_BYTES)
    }

    /**
     * Verifies that [mac] is the MAC of the next frame, which has [payload].
     *
     * @throws MalformedFrameException if the frame is not the next one that the peer signed
     */
    fun verify(
        mac: ByteArray,
        payload: ByteArray,
    ) {
        if (!MessageDigest.isEqual(sign(payload), mac)) throw MalformedFrameException("the MAC of frame $frameCount does not match")
    }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
    }
}
