package io.monsoonpath.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether the platform keeps an instance in service. */
@Serializable
enum class MemberState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** An entry in the platform's instance list. */
@Serializable
data class Member(
    val id: InstanceId,
    val peer: Endpoint,
    val region: Region,
    val domain: FailureDomain,
    val state: MemberState = MemberState.LIVE,
    val operator: Endpoint? = null,
)

/** The platform's instance list at [revision]; only a higher revision replaces it. */
@Serializable
data class InstanceList(
    val revision: ListRevision,
    val members: List<Member>,
)
