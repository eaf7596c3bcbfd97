package io.monsoonpath.coordination.message

import kotlinx.serialization.Serializable

/**
 * A message between two instances.
 *
 * Each concept keeps its messages in a file of this package. Serial names are short, because each message carries its own.
 */
@Serializable
sealed interface PeerMessage
