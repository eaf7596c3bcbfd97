package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.gossip.MemberDigest
import io.monsoonpath.coordination.readers.ReaderTiming
import io.monsoonpath.coordination.readers.SourceReaders
import io.monsoonpath.gateway.log.DecisionLog
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against instances that compare revisions of different eras, so that one on an old era holds back or misleads the others. */
class DocumentErasTest {
    private class Replica(
        override val era: Long,
        private val known: Long,
    ) : DocumentReplica {
        override val topics = listOf(TOPIC)
        override val isReading = false
        override val contact = SourceContact(isCurrent = true, silentMs = 0, era = era)
        override var onUpdate: (String, Long) -> Unit = { _, _ -> }
        val merged = ArrayList<DocumentDelta>()
        var followed = 0

        override fun revisionOf(topic: String) = known

        override fun newestChangeOf(topic: String) = known

        override fun completeRevisionOf(topic: String) = known

        override fun overdueMs(topic: String) = 0L

        override fun deltaSince(
            topic: String,
            revision: Long,
        ) = delta(era, known).copy(keys = listOf("since $revision"))

        override fun merge(delta: DocumentDelta) {
            merged += delta
        }

        override fun startReading() = Unit

        override fun stopReading() = Unit

        override fun follow(contact: SourceContact) {
            followed++
        }
    }

    private class Peers(
        override val liveMembers: List<MemberDigest>,
    ) : DocumentPeers {
        val requests = ArrayList<Pair<String, Long>>()

        override fun send(
            host: String,
            update: DocumentUpdate,
        ) = Unit

        override fun send(
            host: String,
            heartbeat: SourceHeartbeat,
        ) = Unit

        override fun requestDocuments(
            host: String,
            topic: String,
            sinceRevision: Long,
        ) {
            requests += host to sinceRevision
        }
    }

    private val log = DecisionLog(ByteArrayOutputStream())

    private fun requests(
        replica: Replica,
        peers: Peers = Peers(emptyList()),
    ) = DocumentRequests("own", peers, replica, log, Random(1))

    @TestFactory
    fun `a request is answered by the era that it states`() =
        listOf(
            Triple("the same era, less", 3L to 10L, 10L),
            Triple("the same era, as much", 3L to 50L, null),
            Triple("an earlier era, with higher revisions", 2L to 900L, -1L),
            Triple("a later era", 4L to 1L, null),
            Triple("no era, as none is known to an earlier version of the program", null to 10L, 10L),
        ).map { (name, request, since) ->
            DynamicTest.dynamicTest(name) {
                val reply = requests(Replica(era = 3, known = 50)).replyTo(TOPIC, request.second, request.first)
                assertEquals(since?.let { listOf("since $it") }, reply?.keys)
            }
        }

    @TestFactory
    fun `the peer that is ahead has the latest era, then the highest revision`() =
        listOf(
            Triple("a later era with a lower revision", listOf(listOf(20L, 4L), listOf(900L, 2L), listOf(60L, 3L)), "m0"),
            Triple("the same era", listOf(listOf(40L, 3L), listOf(60L, 3L)), "m1"),
            Triple("earlier eras with higher revisions", listOf(listOf(900L, 2L), listOf(50L, 3L)), null),
            Triple("an earlier version of the program", listOf(listOf(900L)), null),
        ).map { (name, announced, ahead) ->
            DynamicTest.dynamicTest(name) {
                val members = announced.mapIndexed { i, revisions -> MemberDigest("m$i", 1, 1, false, revisions) }
                val peers = Peers(members)
                val requests = requests(Replica(era = 3, known = 50), peers)
                repeat(2) { requests.runRound() }
                assertEquals(ahead, peers.requests.lastOrNull()?.first)
            }
        }

    @TestFactory
    fun `an update counts in its era`() =
        listOf(
            Triple("a later era, complete", DocumentUpdate(delta(4, 20), -1), 1 to 0),
            Triple("a later era, from a revision", DocumentUpdate(delta(4, 20), 15), 0 to 1),
            Triple("an earlier era", DocumentUpdate(delta(2, 900), -1), 0 to 0),
            Triple("the same era", DocumentUpdate(delta(3, 60), 50), 1 to 0),
        ).map { (name, update, expected) ->
            DynamicTest.dynamicTest(name) {
                val replica = Replica(era = 3, known = 50)
                val peers = Peers(emptyList())
                forwarding(replica, peers).receive("m0", update)
                assertEquals(expected, replica.merged.size to peers.requests.size)
            }
        }

    @TestFactory
    fun `a reader of an earlier era is not followed`() =
        listOf(Triple(2L, 0, 0), Triple(3L, 1, 0), Triple(4L, 1, 1)).map { (era, followed, requested) ->
            DynamicTest.dynamicTest("era $era") {
                val replica = Replica(era = 3, known = 50)
                val peers = Peers(emptyList())
                val contact = SourceContact(isCurrent = true, silentMs = 0, era = era)
                forwarding(replica, peers).receive("m0", SourceHeartbeat(contact, listOf(TopicRevisions(TOPIC, 20, 20))))
                assertEquals(followed to requested, replica.followed to peers.requests.size)
            }
        }

    /** An earlier version of the program closes the connection over a field that it does not know. */
    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `a message without an era is the one of earlier versions`() =
        listOf(
            PeerMessage.RequestDocuments(TOPIC, 5),
            PeerMessage.SendDocuments(delta(0, 5)),
            PeerMessage.ReportSource(SourceHeartbeat(SourceContact(isCurrent = true, silentMs = 1), emptyList())),
        ).forEach { assertFalse("era" in Cbor.encodeToByteArray<PeerMessage>(it).toString(Charsets.ISO_8859_1), "$it") }

    private fun forwarding(
        replica: Replica,
        peers: Peers,
    ) = DocumentForwarding(replica, peers, SourceReaders("own", 1, ReaderTiming(), Random(1)), { 1_000 }, log)

    private companion object {
        const val TOPIC = "servers/"

        fun delta(
            era: Long,
            revision: Long,
        ) = DocumentDelta(TOPIC, revision, revision, emptyList(), emptyList(), revision, era = era)
    }
}
