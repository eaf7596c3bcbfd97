package io.monsoonpath.app.peer

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** The longest payload of a frame. */
internal const val MAX_PAYLOAD_BYTES = 1_048_576

/** The length of the code that protects a frame. */
internal const val MAC_BYTES = 16

/**
 * Protects the frames of one direction of a connection.
 *
 * Each code covers the number of the frame on its connection, so a frame that was changed, repeated, left out or moved does not pass.
 */
internal class FrameAuthenticator(
    key: ByteArray,
) {
    private val hmacSha256 = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(key, ALGORITHM)) }
    private var frameCount = 0L

    /** Returns the code of the next frame, with [payload]. */
    fun sign(payload: ByteArray): ByteArray {
        require(payload.size <= MAX_PAYLOAD_BYTES) { "a payload must have at most $MAX_PAYLOAD_BYTES bytes, had ${payload.size}" }
        hmacSha256.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(0, frameCount++))
        return hmacSha256.doFinal(payload).copyOf(MAC_BYTES)
    }

    /**
     * Checks the [mac] of the next frame, with [payload].
     *
     * @throws MalformedFrameException if the frame is not the next one that the peer sealed
     */
    fun verify(
        mac: ByteArray,
        payload: ByteArray,
    ) {
        if (!MessageDigest.isEqual(sign(payload), mac)) throw MalformedFrameException("the code of frame $frameCount does not match")
    }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
    }
}
