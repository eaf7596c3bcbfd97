package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.coordination.message.ClaimKey

/** The number of instances that store a claim, of which a majority must grant it. A cell with fewer instances uses all of them. */
internal const val CLAIM_REPLICAS = 3

/** Returns the resource whose owners store the claims for this key. */
internal fun ClaimKey.resource(): Resource = resourceOf("claim", "${workspace.value}/${request.value}")
