package io.monsoonpath.app.config

import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Problem
import java.util.concurrent.atomic.AtomicReference

/**
 * A summary of the rejected documents.
 *
 * @property count the number of rejected documents
 * @property lastProblems the problems of the most recently rejected document
 */
internal class Rejections(
    val count: Long,
    val lastProblems: List<String>,
)

/** Holds the active configuration. Only a configuration with a higher revision replaces it. */
internal class ConfigurationStore(
    private val events: EventSink,
    private val onAdopted: (ConfigurationView) -> Unit = {},
) {
    private val view = AtomicReference<ConfigurationView?>()
    private val rejected = AtomicReference(Rejections(0, emptyList()))

    /** A summary of the documents rejected so far. */
    val rejections: Rejections get() = rejected.get()

    /** The revision of the active configuration, or [ConfigRevision.NONE] before the first one. */
    val revision: ConfigRevision get() = view.get()?.configuration?.revision ?: ConfigRevision.NONE

    /** Returns the active configuration, or null before the first one. */
    fun currentOrNull(): ConfigurationView? = view.get()

    /** Activates [configuration], received from [source]. Returns false if its revision is not above the active revision. */
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

    /** Records that the entire [document] was rejected because of [problems]. The active configuration does not change. */
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
