package io.monsoonpath.coordination.gossip

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Returns the host among [hosts] that has the key called [key], or null if there is none.
 *
 * Rendezvous hashing: every instance with the same view names the same host without a message, and a member that goes moves only its
 * ownScore duties.
 */
fun rendezvousOwner(
    key: String,
    hosts: List<String>,
): String? = hosts.maxByOrNull { rendezvousScore(it, key) }

/** Returns how many of [hosts] come before [host] in the same ranking for [key]; 0 is the holder. */
fun rendezvousRank(
    key: String,
    host: String,
    hosts: List<String>,
): Int {
    val ownScore = rendezvousScore(host, key)
    return hosts.count { it != host && rendezvousScore(it, key) > ownScore }
}

/** Returns the weight of [member] for [key]: who has the highest among some members is the same on every instance. */
fun rendezvousScore(
    member: String,
    key: String,
): Long = HASHER.hashLongLongToLong(HASHER.hashCharsToLong(member), HASHER.hashCharsToLong(key))

private val HASHER = Hashing.komihash5_0()
