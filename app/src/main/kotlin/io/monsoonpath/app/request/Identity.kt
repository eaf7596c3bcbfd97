package io.monsoonpath.app.request

import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec

/** The identity of a caller, derived from the API key of the request. */
internal sealed interface Identity {
    /** The request contains no key. */
    data object Missing : Identity

    /** The request contains a key that is not in the configuration. */
    data object Unknown : Identity

    /** The key is published under [id] and has been withdrawn. */
    data class Withdrawn(
        val id: KeyId,
    ) : Identity

    /** The key is published as [key] and was active when the request was authenticated. */
    data class Known(
        val key: KeySpec,
    ) : Identity
}
