package io.monsoonpath.coordination.message

import kotlinx.serialization.Serializable

/**
 * A message between two instances.
 *
 * Messages are grouped into one file per subsystem. Serial names are short because every encoded message contains its own.
 */
@Serializable
sealed interface PeerMessage
