package io.monsoonpath.app.peer

import java.io.File
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * The secrets that instances prove to each other.
 *
 * The first one signs; all are accepted, so that two are valid while a new one is rolled out.
 */
internal class PeerSecrets(
    secrets: List<ByteArray>,
) {
    private val secrets = secrets.map { it.copyOf() }

    init {
        require(secrets.size in 1..MAX_SECRETS) { "there must be 1 to $MAX_SECRETS peer secrets, were ${secrets.size}" }
        require(secrets.all { it.size >= MIN_SECRET_BYTES }) { "a peer secret must have at least $MIN_SECRET_BYTES bytes" }
    }

    /** The secret that signs. */
    val signingSecret: ByteArray get() = secrets.first()

    /** Returns the secret whose code over [parts] is [code], or null if none is. */
    fun matchOrNull(
        code: ByteArray,
        vararg parts: ByteArray,
    ): ByteArray? = secrets.firstOrNull { MessageDigest.isEqual(code, hmac(it, *parts)) }
}

/** Reads the secrets in [file], one a line. */
internal fun readPeerSecrets(file: File): PeerSecrets =
    PeerSecrets(
        file
            .readLines()
            .map { it.trim() }
            .filter { it.isNotEmpty() }
            .map { it.toByteArray() },
    )

/** Returns the HMAC-SHA-256 of [parts] one after another under [key]. */
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
