package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.stage.DataLocality
import io.monsoonpath.model.FailureDomain

/** The failure domains between which the results of one request move. */
internal class RequestDataLocality(
    context: RequestContext,
    private val services: RequestServices,
) : DataLocality {
    override val callDomain: FailureDomain? =
        context.table.poolOf(context.pool)?.let {
            services.selector.likelyDomain(it, context.head.promptParts, services.clock.nowMs())
        }

    override fun domainOf(handle: String): FailureDomain? =
        services.codec
            .addressOf(handle)
            ?.let(services.directory::findByAddress)
            ?.failureDomain
}
