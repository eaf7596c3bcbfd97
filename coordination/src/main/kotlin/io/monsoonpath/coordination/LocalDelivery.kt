package io.monsoonpath.coordination

import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceId

/**
 * Collects the effects of [step]. Messages addressed to [self] are passed to [handle] directly instead of being sent.
 *
 * @return the remaining effects for the caller, in order
 */
internal inline fun deliverLocally(
    self: InstanceId,
    handle: (PeerMessage) -> List<Effect>,
    step: (MutableList<Effect>) -> Unit,
): List<Effect> {
    val queue = ArrayList<Effect>()
    step(queue)
    val out = ArrayList<Effect>()
    var i = 0
    while (i < queue.size) {
        val effect = queue[i++]
        if (effect is Effect.Send && effect.to == self) queue += handle(effect.message) else out += effect
    }
    return out
}
