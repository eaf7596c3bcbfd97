package io.monsoonpath.model

import kotlinx.serialization.Serializable

/** The name of an entry instance in the platform's instance list; unique over all regions. */
@JvmInline
@Serializable
value class InstanceId(
    val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A number drawn at the start of a process; a restarted instance keeps its id and changes its incarnation. */
@JvmInline
@Serializable
value class Incarnation(
    val value: Long,
) {
    override fun toString(): String = value.toULong().toString(radix = 16)
}

/** A group of instances and backend servers that fail together. */
@JvmInline
@Serializable
value class FailureDomain(
    val value: String,
) : Comparable<FailureDomain> {
    override fun compareTo(other: FailureDomain): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A region; the entry instances of one region form a cell. */
@JvmInline
@Serializable
value class Region(
    val value: String,
) : Comparable<Region> {
    override fun compareTo(other: Region): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A workspace: the party that rates, shares and keys belong to. */
@JvmInline
@Serializable
value class WorkspaceId(
    val value: String,
) : Comparable<WorkspaceId> {
    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A backend server: a model engine, a pool worker or a plain service. */
@JvmInline
@Serializable
value class BackendId(
    val value: String,
) : Comparable<BackendId> {
    override fun compareTo(other: BackendId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A pool of backend servers that can serve the same stage. */
@JvmInline
@Serializable
value class PoolId(
    val value: String,
) : Comparable<PoolId> {
    override fun compareTo(other: PoolId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A pipeline of one to six stages. */
@JvmInline
@Serializable
value class PipelineId(
    val value: String,
) : Comparable<PipelineId> {
    override fun compareTo(other: PipelineId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A stage within its pipeline. */
@JvmInline
@Serializable
value class StageId(
    val value: String,
) : Comparable<StageId> {
    override fun compareTo(other: StageId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A model that engines load. */
@JvmInline
@Serializable
value class ModelId(
    val value: String,
) : Comparable<ModelId> {
    override fun compareTo(other: ModelId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** The public name of a key; never the key itself. */
@JvmInline
@Serializable
value class KeyId(
    val value: String,
) : Comparable<KeyId> {
    override fun compareTo(other: KeyId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A caller's request, named by the caller or drawn by the entry instance. */
@JvmInline
@Serializable
value class RequestId(
    val value: String,
) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** The number of an attempt within one stage of one request, from 1. */
@JvmInline
@Serializable
value class AttemptId(
    val value: Int,
) : Comparable<AttemptId> {
    override fun compareTo(other: AttemptId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** A revision of the configuration; only a higher one replaces the one in force. */
@JvmInline
@Serializable
value class ConfigRevision(
    val value: Long,
) : Comparable<ConfigRevision> {
    override fun compareTo(other: ConfigRevision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Holds the revision that precedes every published one. */
    companion object {
        /** The revision of an instance that has read nothing yet. */
        val NONE = ConfigRevision(0)
    }
}

/** A revision of the platform's instance list. */
@JvmInline
@Serializable
value class ListRevision(
    val value: Long,
) : Comparable<ListRevision> {
    override fun compareTo(other: ListRevision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Holds the revision that precedes every published one. */
    companion object {
        /** The revision of an instance that has read nothing yet. */
        val NONE = ListRevision(0)
    }
}
