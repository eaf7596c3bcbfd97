package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.coordination.message.ClaimKey

/** How many instances remember a claim; a majority has to grant it. A cell of one or two instances uses all it has. */
internal const val CLAIM_REPLICAS = 3

/** The resource whose homes remember the claims for this key. */
internal fun ClaimKey.resource(): Resource = resourceOf("claim", "${workspace.value}/${request.value}")
