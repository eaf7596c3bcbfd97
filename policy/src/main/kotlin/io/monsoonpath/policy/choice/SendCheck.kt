package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId

/** The reason why a send to a backend server is not allowed. */
enum class SendRefusal(
    /** A short human-readable description. */
    val detail: String,
) {
    UNKNOWN_BACKEND("the backend server is not in the configuration"),
    LEAVING_BACKEND("the backend server is leaving"),
    DOMAIN_OUT("its failure domain is out of service"),
    INSTANCE_OUT("this instance is out of service"),
}

/**
 * Checks sends against a configuration; immutable.
 *
 * Each send, retry, hedge and resume must be checked against the configuration that is current at that moment, because it may have
 * changed since the server was selected.
 */
class SendCheck private constructor(
    private val domainOf: Map<BackendId, FailureDomain>,
    private val leaving: Set<BackendId>,
    private val domainsOut: Set<FailureDomain>,
    private val instancesOut: Set<InstanceId>,
) {
    /** Returns the reason why [instance] must not send to [backend], or null if the send is allowed. */
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

    /** Creates checks from configurations. */
    companion object {
        /** Returns a check against [configuration]. */
        fun of(configuration: Configuration): SendCheck =
            SendCheck(
                domainOf = configuration.backends.associate { it.id to it.domain },
                leaving = configuration.backends.filter { it.leaving }.mapTo(HashSet()) { it.id },
                domainsOut = configuration.domains.filter { it.out }.mapTo(HashSet()) { it.id },
                instancesOut = configuration.instancesOut.toSet(),
            )
    }
}
