package io.monsoonpath.app.request

import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec

/** Whose key came with a request. */
internal sealed interface Identity {
    /** No key came. */
    data object Missing : Identity

    /** A key came that the configuration does not know. */
    data object Unknown : Identity

    /** The key is the one published under [id], which is withdrawn. */
    data class Withdrawn(
        val id: KeyId,
    ) : Identity

    /** The key is [key], in force when the request came. */
    data class Known(
        val key: KeySpec,
    ) : Identity
}
