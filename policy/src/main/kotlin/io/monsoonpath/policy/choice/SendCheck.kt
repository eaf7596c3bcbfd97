package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId

/** Why a send to a backend server is not allowed. */
enum class SendRefusal(
    /** One phrase for people. */
    val detail: String,
) {
    UNKNOWN_BACKEND("the backend server is not in the configuration"),
    LEAVING_BACKEND("the backend server is leaving"),
    DOMAIN_OUT("its failure domain is out of service"),
    INSTANCE_OUT("this instance is out of service"),
}

/**
 * What the configuration in force allows at the moment of a send; immutable.
 *
 * Each send, retry, hedge and resume is checked against the latest of these, because the configuration may have changed since the choice.
 */
class SendCheck private constructor(
    private val domainOf: Map<BackendId, FailureDomain>,
    private val leaving: Set<BackendId>,
    private val domainsOut: Set<FailureDomain>,
    private val instancesOut: Set<InstanceId>,
) {
    /** Returns why [instance] may not send to [backend], or null if it may. */
    fun refusalOrNull(
        backend: BackendId,
        instance: InstanceId,
    ): SendRefusal? {
        val domain = domainOf[backend]
        return when {
            domain == null -> SendRefusal.UNKNOWN_BACKEND
            backend in leaving -> SendRefusal.LEAVING_BACKEND
            domain in domainsOut -> SendRefusal.DOMAIN_OUT
            instance in instancesOut -> SendRefusal.INSTANCE_OUT
            else -> null
        }
    }

    /** Creates checks. */
    companion object {
        /** Returns the check that [configuration] prescribes. */
        fun of(configuration: Configuration): SendCheck =
            SendCheck(
                domainOf = configuration.backends.associate { it.id to it.domain },
                leaving = configuration.backends.filter { it.leaving }.mapTo(HashSet()) { it.id },
                domainsOut = configuration.domains.filter { it.out }.mapTo(HashSet()) { it.id },
                instancesOut = configuration.instancesOut.toSet(),
            )
    }
}
