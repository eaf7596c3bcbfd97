package io.monsoonpath.gateway

import io.monsoonpath.coordination.readers.ReaderTiming
import io.monsoonpath.coordination.readers.SourceReaders
import io.monsoonpath.coordination.readers.domainNumber
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.choice.BackendSelector
import io.monsoonpath.gateway.choice.ColdStartLimiter
import io.monsoonpath.gateway.choice.FleetView
import io.monsoonpath.gateway.choice.RetryBudgets
import io.monsoonpath.gateway.config.ConfigurationHolder
import io.monsoonpath.gateway.crash.CrashDetector
import io.monsoonpath.gateway.crash.CrashProtection
import io.monsoonpath.gateway.crash.CrashQuarantine
import io.monsoonpath.gateway.crash.ServerFates
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.BackendCodec
import io.monsoonpath.gateway.http.BackendConnectionPools
import io.monsoonpath.gateway.http.BufferBudget
import io.monsoonpath.gateway.http.CallerBudget
import io.monsoonpath.gateway.http.CallerCapacity
import io.monsoonpath.gateway.http.CallerCodec
import io.monsoonpath.gateway.http.CallerServer
import io.monsoonpath.gateway.http.ConnectionPoolLimits
import io.monsoonpath.gateway.http.ProbeResult
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.gateway.peer.DistributedPieceExecutor
import io.monsoonpath.gateway.peer.DocumentReplica
import io.monsoonpath.gateway.peer.EvidenceExchange
import io.monsoonpath.gateway.peer.Membership
import io.monsoonpath.gateway.peer.PeerCapacity
import io.monsoonpath.gateway.peer.PeerDocumentSync
import io.monsoonpath.gateway.peer.PeerTransport
import io.monsoonpath.gateway.peer.poolOwnersOf
import io.monsoonpath.gateway.request.RequestDispatcher
import io.monsoonpath.gateway.request.RequestFilters
import io.monsoonpath.gateway.request.RequestServices
import io.monsoonpath.gateway.request.RetryLimits
import io.monsoonpath.gateway.room.PoolRooms
import io.monsoonpath.gateway.room.ShareExchange
import io.monsoonpath.gateway.stage.Backlogs
import io.monsoonpath.gateway.stage.HttpBatchSender
import io.monsoonpath.gateway.stage.LocalPieceExecutor
import io.monsoonpath.gateway.stream.RunCopies
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.policy.backend.Availability
import io.monsoonpath.policy.backend.BackendNotices
import io.monsoonpath.policy.batch.StandingQueueDetector
import io.monsoonpath.policy.deadline.ShutdownAdmission
import io.monsoonpath.policy.retry.RetryAfterPolicy
import io.netty.channel.EventLoop
import kotlin.random.Random

/**
 * The settings of a gateway.
 *
 * @property callerAddress the address on which this instance listens for callers
 * @property peerAddress the address on which this instance listens for peers, over UDP and TCP, and on the next port over UDP; all
 * instances use the same ports
 * @property seeds the hosts of a few instances, some of which may no longer exist
 * @property incarnation a number that increases with each start of the process
 * @property capacityMillicores the processor time that this instance can use, in thousandths of a core; 0 if unknown
 * @property maxMembers the configured maximum number of instances that run at the same time
 * @property retryRatio the extra attempts allowed for each first attempt, over all instances
 * @property retryReserve the extra attempts that all instances together may make in addition
 * @property coldRateFactor the multiple of its configured rate that a cold backend server may receive
 * @property coldRateAllowance the requests per second that it may receive in addition
 * @property memoryBytes the memory that the machine grants this instance; 0 if unknown
 * @property fileDescriptors the descriptors that it grants; 0 if unknown
 */
data class GatewaySettings(
    val callerAddress: Address,
    val peerAddress: Address,
    val seeds: List<String>,
    val incarnation: Long,
    val failureDomain: FailureDomain,
    val capacityMillicores: Int,
    val maxMembers: Int,
    val retryRatio: Double,
    val retryReserve: Int,
    val coldRateFactor: Double,
    val coldRateAllowance: Double,
    val memoryBytes: Long = 0,
    val fileDescriptors: Int = 0,
)

/** The codecs that translate between HTTP messages and the types of the gateway. */
class WireCodecs(
    val caller: CallerCodec,
    val backend: BackendCodec,
)

/** An entry instance that forwards requests. Everything runs on one event loop because the machine has about one core. */
class Gateway(
    private val settings: GatewaySettings,
    private val codecs: WireCodecs,
    private val loop: EventLoop,
    private val clock: ClockMs,
    private val log: DecisionLog,
) {
    /** Schedules actions on the event loop. */
    val scheduler: Scheduler = EventLoopScheduler(loop, log)
    val metrics = GatewayMetrics()
    val configuration = ConfigurationHolder(log)
    val directory = BackendDirectory(log)
    private val loads = BackendLoads(clock, log, metrics::loadReportIgnored)
    private val connectionPools = BackendConnectionPools(loop, clock, ::connectionPoolLimits, metrics, log)
    private val coldStartLimiter = ColdStartLimiter(::fleetView)
    private val gate = BackendGate(BackendNotices(settings.hashCode()), clock, log, metrics)
    private val batchSender = HttpBatchSender(connectionPools, codecs.backend, directory, gate, loads, clock, scheduler)
    val membership =
        Membership(
            loop,
            clock,
            scheduler,
            settings.peerAddress,
            settings.seeds,
            settings.incarnation,
            log,
            Random(settings.incarnation),
            settings.capacityMillicores,
            domainNumber(settings.failureDomain.value),
        )
    private val localExecutor =
        LocalPieceExecutor(configuration, directory, gate, loads, batchSender, clock, scheduler, ::isSoleBatcher, log, metrics)
    private val transport =
        PeerTransport(
            loop,
            settings.peerAddress,
            log,
            PeerCapacity.of(Runtime.getRuntime().maxMemory(), settings.memoryBytes, settings.fileDescriptors),
        )
    private val pieceExecutor =
        DistributedPieceExecutor(
            settings.peerAddress,
            transport,
            poolOwnersOf(membership),
            localExecutor,
            Backlogs(clock),
            clock,
            scheduler,
            log,
        )
    private val shareExchange =
        ShareExchange(
            settings.peerAddress.host,
            { membership.ownerOf(it.value) },
            ::maxInstances,
            { host, message -> transport.connectionTo(host).send(message) },
            clock,
            log,
        )
    private val rooms =
        PoolRooms(configuration, directory, gate, loads, shareExchange, clock, scheduler, metrics, log)
    private val copies = RunCopies(directory, loads, gate, ::fleetView, clock, log, metrics)
    private val crashQuarantine =
        CrashQuarantine(settings.peerAddress.host, settings.incarnation, ::fleetView, clock, scheduler, log)
    private val crashDetector =
        CrashDetector(
            clock,
            scheduler,
            directory,
            log,
            ::probe,
            crashQuarantine::recordCrash,
        )
    private val serverFates = ServerFates(clock, scheduler, directory, log, connectionPools::isConnected, ::probe)
    private val evidenceExchange =
        EvidenceExchange(
            loop,
            settings.peerAddress.copy(port = settings.peerAddress.port + 1),
            membership,
            crashQuarantine,
            clock,
            scheduler,
            log,
            Random(settings.incarnation),
        )
    private var documentSync: PeerDocumentSync? = null
    private val shutdownAdmission = ShutdownAdmission()
    private val bufferBudget = BufferBudget()
    private val services =
        RequestServices(
            clock,
            scheduler,
            directory,
            connectionPools,
            loads,
            BackendSelector(directory, loads, coldStartLimiter, gate, settings.failureDomain, seed = settings.hashCode().toLong()) {
                it.coldRequestsPerSecond * settings.coldRateFactor +
                    settings.coldRateAllowance
            },
            RetryLimits(RetryBudgets(settings.retryRatio, settings.retryReserve, ::fleetView), RetryAfterPolicy()),
            StandingQueueDetector(),
            shutdownAdmission,
            codecs.backend,
            pieceExecutor,
            CrashProtection(crashDetector, crashQuarantine, evidenceExchange.catchUp, copies, serverFates),
            log,
            metrics,
            rooms,
        )
    private val requestDispatcher = RequestDispatcher(RequestFilters(configuration, codecs.caller), services, bufferBudget)

    private val callerCapacity =
        CallerCapacity.of(Runtime.getRuntime().maxMemory(), settings.memoryBytes, settings.fileDescriptors)
    private val callerBudget = CallerBudget(callerCapacity, clock, log)

    /** The server that accepts connections from callers. */
    val callerServer =
        CallerServer(
            loop,
            clock,
            log,
            settings.callerAddress,
            { configuration.current?.callerLimits },
            requestDispatcher,
            callerBudget,
        )

    init {
        metrics.gauge("monsoonpath_log_dropped_lines") { log.dropped }
        metrics.gauge("monsoonpath_caller_connections") { callerServer.connectionCount }
        metrics.gauge("monsoonpath_caller_connections_max") { callerCapacity.maxConnections }
        metrics.gauge("monsoonpath_caller_bytes") { callerBudget.usedBytes }
        metrics.gauge("monsoonpath_caller_bytes_max") { callerCapacity.maxBytes }
        metrics.gauge("monsoonpath_caller_evictions") { callerBudget.evictionCount }
        metrics.gauge("monsoonpath_quarantines") { crashQuarantine.size }
        metrics.gauge("monsoonpath_buffered_response_bytes") { bufferBudget.usedBytes }
        metrics.gauge(
            "monsoonpath_backends_leaving",
        ) { directory.servers.count { gate.availabilityOf(it, clock.nowMs()) is Availability.Leaving } }
        metrics.gauge(
            "monsoonpath_backends_paused",
        ) { directory.servers.count { gate.availabilityOf(it, clock.nowMs()) is Availability.Paused } }
        metrics.gauge("monsoonpath_places_running") { rooms.running }
        metrics.gauge("monsoonpath_places_waiting") { rooms.waiting }
        metrics.gauge("monsoonpath_copied_tokens") { copies.copiedTokens }
        metrics.gauge("monsoonpath_members") { membership.liveMembers.size }
        metrics.gauge("monsoonpath_peer_connections_silent") { transport.silentConnectionCount }
        directory.onChange { id ->
            if (directory[id] != null) return@onChange
            connectionPools.remove(id)
            loads.remove(id)
            coldStartLimiter.remove(id)
        }
    }

    /** Joins the other instances and starts to accept requests. */
    fun start() {
        membership.start()
        transport.start()
        crashQuarantine.publisher = evidenceExchange
        evidenceExchange.start()
        callerServer.start()
        transport.addListener(shareExchange)
        val hostsOfPieces = membership.hostsInUse
        membership.hostsInUse = { hostsOfPieces() + shareExchange.ownersInUse() }
        transport.awaitedHosts = { membership.hostsInUse() }
        scheduler.scheduleRepeatedly(ShareExchange.INTERVAL_MS, rooms::reportDemand)
        scheduler.scheduleRepeatedly(CLOSE_EXPIRED_INTERVAL_MS, connectionPools::closeExpired)
    }

    /**
     * Begins the shutdown of this instance: it owns no pools any more, closes connections after their responses, and refuses requests that
     * are likely to take longer than until [endsAtMs], or might if they arrive from [lateFromMs] on.
     */
    fun startShutdown(
        endsAtMs: Long,
        lateFromMs: Long,
    ) {
        shutdownAdmission.begin(endsAtMs, lateFromMs)
        membership.announceLeaving()
        callerServer.startDraining()
    }

    /**
     * Starts to exchange documents with peers, so that [replica] receives documents that its source does not deliver.
     *
     * @param timing when this instance leaves reading the source to others
     */
    fun shareDocuments(
        replica: DocumentReplica,
        timing: ReaderTiming = ReaderTiming(),
    ) {
        val host = settings.peerAddress.host
        val readers = SourceReaders(host, domainNumber(settings.failureDomain.value), timing, Random(host.hashCode()))
        val sync = PeerDocumentSync(host, membership, transport, replica, scheduler, log, Random(settings.incarnation), readers, clock)
        documentSync = sync
        metrics.gauge("monsoonpath_store_era") { replica.era }
        metrics.gauge("monsoonpath_store_reading") { if (replica.isReading) 1 else 0 }
        metrics.gauge("monsoonpath_store_fresh_readers") { sync.forwardingState.freshReaders }
        metrics.gauge("monsoonpath_store_role_changes") { sync.forwardingState.roleChanges }
        metrics.gauge("monsoonpath_store_forwarded_documents") { sync.forwardingState.sentUpdates }
        metrics.gauge("monsoonpath_store_received_documents") { sync.forwardingState.receivedUpdates }
        sync.start()
    }

    /** Closes idle connections and discards the known members, which may be outdated after a pause of the process. */
    fun resumeAfterPause() {
        connectionPools.closeIdle()
        membership.rejoin()
        documentSync?.resumeAfterPause()
    }

    /**
     * Returns the number of instances among which limits are divided.
     *
     * Membership may not know all instances, so the result is at least the configured maximum. A fleet that is larger than that is always
     * known in part, so the number of known instances is used if it is higher.
     */
    private fun maxInstances() = maxOf(settings.maxMembers, membership.knownCount)

    private fun fleetView(): FleetView? =
        if (membership.isJoined) FleetView(maxInstances(), settings.peerAddress.host, membership.liveMembers.map { it.host }) else null

    private fun probe(
        server: BackendServer,
        onResult: (ProbeResult) -> Unit,
    ) = connectionPools.poolFor(server).probe(onResult)

    private fun isSoleBatcher(pool: PoolId) = membership.isOwnershipStable && membership.isCommonOwner(pool.value)

    private fun connectionPoolLimits(server: BackendServer): ConnectionPoolLimits {
        val total = configuration.current?.poolOf(server.pool)?.maxConnections ?: DEFAULT_MAX_CONNECTIONS
        return ConnectionPoolLimits(
            maxConnections = (total * CONNECTION_SHARE_FACTOR / maxInstances()).toInt().coerceAtLeast(MIN_CONNECTIONS_PER_INSTANCE),
        )
    }

    private companion object {
        const val CLOSE_EXPIRED_INTERVAL_MS = 100L
        const val DEFAULT_MAX_CONNECTIONS = 100

        /** Requests are distributed unevenly, so an instance may use twice its equal share of a backend server's connections. */
        const val CONNECTION_SHARE_FACTOR = 2.0
        const val MIN_CONNECTIONS_PER_INSTANCE = 4
    }
}
