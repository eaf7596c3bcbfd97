package io.monsoonpath.app.edit

import io.monsoonpath.app.request.hashKey
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec
import io.monsoonpath.model.WorkspaceId
import java.util.Base64
import java.util.HexFormat
import java.util.random.RandomGenerator

/**
 * A new key.
 *
 * @property secret the key as the caller presents it; it is shown once and kept nowhere
 * @property spec what the document keeps
 */
internal class IssuedKey(
    val secret: String,
    val spec: KeySpec,
)

/** Draws a key for [workspace] from [random], which must be cryptographically strong outside of tests. */
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
