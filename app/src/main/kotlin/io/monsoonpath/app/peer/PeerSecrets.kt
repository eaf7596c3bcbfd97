package io.monsoonpath.app.peer

import java.io.File
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * The shared secrets by which instances authenticate each other.
 *
 * The first one signs. All of them are accepted, so that an old and a new secret are both valid while the new one is rolled out.
 */
internal class PeerSecrets(
    secrets: List<ByteArray>,
) {
    private val secrets = secrets.map { it.copyOf() }

    init {
        require(secrets.size in 1..MAX_SECRETS) { "expected 1 to $MAX_SECRETS peer secrets, found ${secrets.size}" }
        require(secrets.all { it.size >= MIN_SECRET_BYTES }) { "each peer secret must have at least $MIN_SECRET_BYTES bytes" }
    }

    /** The secret that is used to sign. */
    val signingSecret: ByteArray get() = secrets.first()

    /** Returns the secret with which [code] is the HMAC of [parts], or null if there is none. */
    fun matchOrNull(
        code: ByteArray,
        vararg parts: ByteArray,
    ): ByteArray? = secrets.firstOrNull { MessageDigest.isEqual(code, hmac(it, *parts)) }
}

/** Reads the secrets from [file], which contains one secret per line; empty lines are ignored. */
internal fun readPeerSecrets(file: File): PeerSecrets =
    PeerSecrets(
        file
            .readLines()
            .map { it.trim() }
            .filter { it.isNotEmpty() }
            .map { it.toByteArray() },
    )

/** Returns the HMAC-SHA-256 of the concatenation of [parts] with [key]. */
internal fun hmac(
    key: ByteArray,
    vararg parts: ByteArray,
): ByteArray {
    val mac = Mac.getInstance(ALGORITHM)
    mac.init(SecretKeySpec(key, ALGORITHM))
    parts.forEach { mac.update(it) }
    return mac.doFinal()
}

private const val ALGORITHM = "HmacSHA256"
private const val MAX_SECRETS = 2
private const val MIN_SECRET_BYTES = 16
