package io.monsoonpath.app.edit

import io.monsoonpath.app.request.hashKey
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec
import io.monsoonpath.model.WorkspaceId
import java.util.Base64
import java.util.HexFormat
import java.util.random.RandomGenerator

/**
 * A newly issued API key.
 *
 * @property secret the key that a caller sends; it is displayed once and never stored
 * @property spec the entry for the configuration document, with the salted hash of the key
 */
internal class IssuedKey(
    val secret: String,
    val spec: KeySpec,
)

/** Generates a key for [workspace]. Outside tests and demos, [random] must be cryptographically strong. */
internal fun issueKey(
    workspace: WorkspaceId,
    random: RandomGenerator,
): IssuedKey {
    val id = HexFormat.of().formatHex(random.randomBytes(ID_BYTES))
    val secret = id + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(random.randomBytes(SECRET_BYTES))
    val salt = random.randomBytes(SALT_BYTES)
    val hex = HexFormat.of()
    return IssuedKey(secret, KeySpec(KeyId(id), workspace, hex.formatHex(salt), hex.formatHex(hashKey(secret, salt))))
}

private fun RandomGenerator.randomBytes(count: Int) = ByteArray(count).also { nextBytes(it) }

private const val ID_BYTES = 6
private const val SECRET_BYTES = 32
private const val SALT_BYTES = 16
