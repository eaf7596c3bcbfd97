package io.monsoonpath.coordination.replication

import io.monsoonpath.model.Configuration
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.readConfiguration
import io.monsoonpath.model.readInstanceList

/** A kind of document that the platform publishes and instances replicate. [valueName] is its name on the platform. */
enum class DocumentKind(
    val valueName: String,
) {
    CONFIGURATION("configuration"),
    INSTANCES("instances"),
    ;

    /** Parses [text] as a complete document of this kind. */
    fun parse(text: ByteArray): ValidationResult<PublishedDocument> =
        when (this) {
            CONFIGURATION -> readConfiguration(text.decodeToString()).map { PublishedDocument.OfConfiguration(it) }
            INSTANCES -> readInstanceList(text.decodeToString()).map { PublishedDocument.OfInstances(it) }
        }
}

/** A complete and valid document that the platform published. */
sealed interface PublishedDocument {
    /** The revision of the document. A document only replaces one with a lower revision. */
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

/** Parses the bytes of a document. [DocumentKind.parse] is the implementation outside of tests. */
fun interface DocumentParser {
    /** Returns the document, or all problems found in it. */
    fun parse(
        kind: DocumentKind,
        text: ByteArray,
    ): ValidationResult<PublishedDocument>
}

private fun <T, R> ValidationResult<T>.map(transform: (T) -> R): ValidationResult<R> =
    when (this) {
        is ValidationResult.Valid -> ValidationResult.Valid(transform(document))
        is ValidationResult.Invalid -> this
    }
