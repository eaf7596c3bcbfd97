package io.monsoonpath.coordination.gossip

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Returns the owner of [key] among [hosts] by rendezvous hashing, or null if [hosts] is empty.
 *
 * All instances with the same member list compute the same owner without communication. Removing a host reassigns only its own keys.
 */
fun rendezvousOwner(
    key: String,
    hosts: List<String>,
): String? = hosts.maxByOrNull { rendezvousScore(it, key) }

/** Returns how many of [hosts] rank before [host] as owner of [key]; the owner has rank 0. */
fun rendezvousRank(
    key: String,
    host: String,
    hosts: List<String>,
): Int {
    val ownScore = rendezvousScore(host, key)
    return hosts.count { it != host && rendezvousScore(it, key) > ownScore }
}

/** Returns the weight of [member] for [key]. The hash is unseeded, so every instance computes the same ranking. */
fun rendezvousScore(
    member: String,
    key: String,
): Long = HASHER.hashLongLongToLong(HASHER.hashCharsToLong(member), HASHER.hashCharsToLong(key))

private val HASHER = Hashing.komihash5_0()
