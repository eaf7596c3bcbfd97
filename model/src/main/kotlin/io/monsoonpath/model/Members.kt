package io.monsoonpath.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The state of an instance in the platform's instance list. */
@Serializable
enum class MemberState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * An entry of the platform's instance list.
 *
 * @property peer the address on which the instance accepts connections of other instances
 * @property operator the address of the instance's operator endpoint, or null if it is not published
 */
@Serializable
data class Member(
    val id: InstanceId,
    val peer: Endpoint,
    val region: Region,
    val domain: FailureDomain,
    val state: MemberState = MemberState.LIVE,
    val operator: Endpoint? = null,
)

/** The platform's instance list at [revision]. Only a list with a higher revision replaces it. */
@Serializable
data class InstanceList(
    val revision: ListRevision,
    val members: List<Member>,
)
