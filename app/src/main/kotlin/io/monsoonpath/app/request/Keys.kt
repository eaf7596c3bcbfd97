package io.monsoonpath.app.request

import io.monsoonpath.model.KeySpec
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Returns the specification that [key] matches, or null.
 *
 * The key starts with its public id and a dot; the comparison of hashes takes the same time wherever they differ.
 */
internal fun List<KeySpec>.matchOrNull(key: String): KeySpec? {
    val id = key.substringBefore('.')
    val spec = firstOrNull { it.id.value == id } ?: return null
    val expected = HexFormat.of().parseHex(spec.hashHex)
    return spec.takeIf { MessageDigest.isEqual(expected, hashKey(key, HexFormat.of().parseHex(spec.saltHex))) }
}

/** Returns SHA-256 of [salt] followed by [key]. */
internal fun hashKey(
    key: String,
    salt: ByteArray,
): ByteArray {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(salt)
    return digest.digest(key.toByteArray())
}
