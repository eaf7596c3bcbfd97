package io.monsoonpath.app.platform

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import io.github.oshai.kotlinlogging.KotlinLogging
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.Reading
import io.monsoonpath.model.readConfiguration

/** Follows the configuration that the platform publishes and hands on each whole, valid, newer document. */
internal class PlatformReader(
    url: String,
    private val adopt: (Configuration) -> Unit,
) : AutoCloseable {
    private val log = KotlinLogging.logger {}
    private val client = WebClient.builder(url).responseTimeoutMillis(WATCH_MS + READ_TIMEOUT_MS).build()
    private var inForce = ConfigRevision.NONE
    private val thread = Thread(::follow, "platform-reader")

    @Volatile
    private var running = true

    /** Starts following. */
    fun start() {
        thread.isDaemon = true
        thread.start()
    }

    override fun close() {
        running = false
        thread.interrupt()
    }

    private fun follow() {
        while (running) {
            try {
                watchOnce()
            } catch (e: InterruptedException) {
                return
            } catch (e: Exception) {
                log.warn { "the platform cannot be read: ${e.message}" }
                if (!pause()) return
            }
        }
    }

    private fun watchOnce() {
        val answer = client.get("/v1/values/configuration?after=$inForce&waitMs=$WATCH_MS").aggregate().get()
        if (answer.status() != HttpStatus.OK) return
        when (val reading = readConfiguration(answer.contentUtf8())) {
            is Reading.Valid -> adoptIfNewer(reading.document)
            is Reading.Invalid -> log.warn { "a configuration was rejected: ${reading.problems}" }
        }
    }

    private fun adoptIfNewer(configuration: Configuration) {
        if (configuration.revision <= inForce) return
        inForce = configuration.revision
        adopt(configuration)
    }

    private fun pause(): Boolean =
        try {
            Thread.sleep(RETRY_MS)
            true
        } catch (_: InterruptedException) {
            false
        }

    private companion object {
        const val WATCH_MS = 10_000L
        const val READ_TIMEOUT_MS = 2_000L
        const val RETRY_MS = 500L
    }
}
