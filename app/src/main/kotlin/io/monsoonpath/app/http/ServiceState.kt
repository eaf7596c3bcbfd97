package io.monsoonpath.app.http

import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.app.request.Exchange
import io.monsoonpath.app.request.ServiceGate
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Settings
import io.monsoonpath.model.Step

/**
 * Tracks whether this instance is ready and accepts requests.
 *
 * The instance is ready from its first configuration until operators take it out of service or it begins to shut down.
 * Readiness turns false first. Requests are still accepted for a grace period (`shutdownGraceMs`), because the load balancer
 * needs time to notice the change.
 */
internal class ServiceState(
    private val settings: Settings,
    private val clock: ClockMs,
) : ServiceGate {
    @Volatile
    private var outOfServiceSinceMs: Long? = null

    @Volatile
    private var isConfigured = false

    /** Whether the instance is shutting down. */
    @Volatile
    var isStopping = false
        private set

    /** Whether the instance rejects new requests because it is shutting down. */
    @Volatile
    var isRejectingRequests = false
        private set

    /** Whether the load balancer should send requests to this instance. */
    val isReady: Boolean get() = isConfigured && !isStopping && outOfServiceSinceMs == null

    /** Updates the state for the configuration [view], which has come into force. */
    fun onConfigurationAdopted(view: ConfigurationView) {
        val isOut = view.isOutOfService(settings.instance, settings.failureDomain)
        outOfServiceSinceMs = if (isOut) outOfServiceSinceMs ?: clock.nowMs() else null
        isConfigured = true
    }

    /** Begins the shutdown: ends readiness, but still accepts requests. */
    fun beginShutdown() {
        isStopping = true
    }

    /** Rejects new requests from now on. */
    fun rejectRequests() {
        isRejectingRequests = true
    }

    override fun refusalOrNull(exchange: Exchange): Refusal? {
        val sinceMs = outOfServiceSinceMs ?: return null
        if (clock.nowMs() - sinceMs < settings.timing.shutdownGraceMs) return null
        return OUT_OF_SERVICE.refusal
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        val OUT_OF_SERVICE =
            refused(RefusalReason.NOT_IN_SERVICE, Step.RECEIVE, "this instance was taken out of service", RETRY_AFTER_MS)
    }
}
