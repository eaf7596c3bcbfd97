package io.monsoonpath.coordination.replication

import io.monsoonpath.model.Configuration
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.Reading
import io.monsoonpath.model.readConfiguration
import io.monsoonpath.model.readInstanceList

/** A document that the platform publishes and instances spread; [valueName] names it there. */
enum class DocumentKind(
    val valueName: String,
) {
    CONFIGURATION("configuration"),
    INSTANCES("instances"),
    ;

    /** Reads [text] as a whole document of this kind. */
    fun parse(text: ByteArray): Reading<PublishedDocument> =
        when (this) {
            CONFIGURATION -> readConfiguration(text.decodeToString()).map { PublishedDocument.OfConfiguration(it) }
            INSTANCES -> readInstanceList(text.decodeToString()).map { PublishedDocument.OfInstances(it) }
        }
}

/** A whole and valid document that the platform published. */
sealed interface PublishedDocument {
    /** The document's revision; only a higher one replaces the one in force. */
    val revision: Long

    /** A configuration. */
    data class OfConfiguration(
        val configuration: Configuration,
    ) : PublishedDocument {
        override val revision: Long get() = configuration.revision.value
    }

    /** An instance list. */
    data class OfInstances(
        val list: InstanceList,
    ) : PublishedDocument {
        override val revision: Long get() = list.revision.value
    }
}

/** Reads the bytes of a document of a kind; [DocumentKind.parse] unless a test brings its own. */
fun interface DocumentParser {
    /** Returns the document, or everything that is wrong with it. */
    fun parse(
        kind: DocumentKind,
        text: ByteArray,
    ): Reading<PublishedDocument>
}

private fun <T, R> Reading<T>.map(transform: (T) -> R): Reading<R> =
    when (this) {
        is Reading.Valid -> Reading.Valid(transform(document))
        is Reading.Invalid -> this
    }
