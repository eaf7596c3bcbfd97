package io.monsoonpath.app.config

import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Problem
import java.util.concurrent.atomic.AtomicReference

/**
 * Documents that were rejected.
 *
 * @property count how many there were
 * @property lastProblems what was wrong with the latest one
 */
internal class Rejections(
    val count: Long,
    val lastProblems: List<String>,
)

/** Holds the configuration in force; a lower revision never replaces a higher one. */
internal class ConfigurationStore(
    private val events: EventSink,
    private val onAdopted: (ConfigurationView) -> Unit = {},
) {
    private val view = AtomicReference<ConfigurationView?>()
    private val rejected = AtomicReference(Rejections(0, emptyList()))

    /** The documents rejected so far. */
    val rejections: Rejections get() = rejected.get()

    /** The revision in force, or [ConfigRevision.NONE]. */
    val revision: ConfigRevision get() = view.get()?.configuration?.revision ?: ConfigRevision.NONE

    /** Returns the configuration in force, or null before the first one. */
    fun currentOrNull(): ConfigurationView? = view.get()

    /** Puts [configuration], learnt from [source], in force; returns false if its revision is not above the one in force. */
    fun adopt(
        configuration: Configuration,
        source: String,
    ): Boolean {
        val newView = ConfigurationView(configuration)
        do {
            val current = view.get()
            if (current != null && configuration.revision <= current.configuration.revision) return false
        } while (!view.compareAndSet(current, newView))
        events.emit(Event.ConfigurationAdopted(configuration.revision, source))
        onAdopted(newView)
        return true
    }

    /** Notes that a [document] was rejected whole because of [problems]; what is in force stays so. */
    fun reject(
        document: String,
        problems: List<Problem>,
    ) {
        val texts = problems.take(MAX_REPORTED_PROBLEMS).map { it.toString() }
        rejected.updateAndGet { Rejections(it.count + 1, texts) }
        events.emit(Event.DocumentRejected(document, texts))
    }

    private companion object {
        const val MAX_REPORTED_PROBLEMS = 20
    }
}
