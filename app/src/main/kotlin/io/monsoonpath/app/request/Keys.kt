package io.monsoonpath.app.request

import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.model.KeySpec
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Returns the published form of [key], whether it is active or withdrawn, or null if the key is unknown.
 *
 * The key starts with its public id and a dot. Hashes are compared in constant time, and an unknown id is compared with a dummy
 * hash, so that the response time does not reveal which ids exist.
 */
internal fun ConfigurationView.findKeyOrNull(key: String): KeySpec? {
    val spec = keyOrNull(key.substringBefore('.'))
    val hash = hashKey(key, HEX.parseHex(spec?.saltHex ?: NO_SALT_HEX))
    val isMatch = MessageDigest.isEqual(HEX.parseHex(spec?.hashHex ?: NO_HASH_HEX), hash)
    return spec?.takeIf { isMatch }
}

/** Returns the SHA-256 hash of [salt] followed by [key]. */
internal fun hashKey(
    key: String,
    salt: ByteArray,
): ByteArray {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(salt)
    return digest.digest(key.toByteArray())
}

private val HEX = HexFormat.of()
private const val NO_SALT_HEX = "00000000000000000000000000000000"
private const val NO_HASH_HEX = "0000000000000000000000000000000000000000000000000000000000000000"
