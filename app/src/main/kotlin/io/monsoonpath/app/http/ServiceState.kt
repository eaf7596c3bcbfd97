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
 * Whether this instance takes requests: from its first configuration, until operators take it out or it is told to stop.
 *
 * Readiness turns false first; requests are taken for the grace that the balancer needs to notice.
 */
internal class ServiceState(
    private val settings: Settings,
    private val clock: ClockMs,
) : ServiceGate {
    @Volatile
    private var outOfServiceSinceMs: Long? = null

    @Volatile
    private var isConfigured = false

    /** Whether the instance was told to stop. */
    @Volatile
    var isStopping = false
        private set

    /** Whether the instance takes no more requests because it stops. */
    @Volatile
    var isRejectingRequests = false
        private set

    /** Whether the balancer is to send requests here. */
    val isReady: Boolean get() = isConfigured && !isStopping && outOfServiceSinceMs == null

    /** Notes a configuration that came into force. */
    fun onConfigurationAdopted(view: ConfigurationView) {
        val isOut = view.isOut(settings.instance, settings.failureDomain)
        outOfServiceSinceMs = if (isOut) outOfServiceSinceMs ?: clock.nowMs() else null
        isConfigured = true
    }

    /** Turns readiness off. */
    fun beginShutdown() {
        isStopping = true
    }

    /** Takes no more requests. */
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
