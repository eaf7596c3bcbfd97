package io.monsoonpath.model

import kotlinx.serialization.Serializable

/**
 * The settings of one entry instance, read from a file at startup.
 *
 * @property instance the id of this instance in the platform's instance list
 * @property caller the address on which callers are served
 * @property peer the address on which other instances connect
 * @property operator the address on which operator requests, metrics and health checks are served
 * @property platformUrl the base URL of the platform's configuration service, `http://IP:PORT`
 * @property peerSecretFile the path of a file with one or two secrets, one per line; the first is used for signing, and all are accepted
 */
@Serializable
data class Settings(
    val instance: InstanceId,
    val region: Region,
    val failureDomain: FailureDomain,
    val caller: Endpoint,
    val peer: Endpoint,
    val operator: Endpoint,
    val platformUrl: String,
    val peerSecretFile: String,
    val limits: LimitSettings = LimitSettings(),
    val timing: TimingSettings = TimingSettings(),
)

/** A listening address. The [host] is a numeric IP address; [port] 0 selects any free port. */
@Serializable
data class Endpoint(
    val host: String,
    val port: Int,
)

/**
 * Limits on the resources that a single caller and all callers together may use.
 *
 * @property maxBodyBytes the maximum size of a request body
 * @property maxHeaderBytes the maximum total size of the headers of a request
 * @property maxConnections the maximum number of concurrent caller connections
 * @property maxRunning the maximum number of concurrently running requests
 * @property maxQueued the maximum number of queued requests
 * @property callerIdleTimeoutMs the idle timeout of a connection, and the timeout for receiving a complete request
 */
@Serializable
data class LimitSettings(
    val maxBodyBytes: Long = 1_048_576,
    val maxHeaderBytes: Int = 16_384,
    val maxConnections: Int = 10_000,
    val maxRunning: Int = 4_000,
    val maxQueued: Int = 8_000,
    val callerIdleTimeoutMs: Long = 30_000,
)

/**
 * Timeouts and other durations of the instance, in milliseconds.
 *
 * @property shutdownGraceMs how long new requests are still accepted after the instance stops reporting that it is ready
 * @property shutdownDrainMs how long running requests may take to complete after the grace period
 * @property rightMs the duration of the lease that allows an instance to act, counted from the query that granted or renewed it
 * @property claimTtlMs how long the id of a non-idempotent request is remembered; must be longer than the deadline of any such request
 * @property takeoverMs how long a fleet waits before taking over held resources after all instances started or most were lost at once
 * @property peerTimeoutMs the timeout for answers of peers while a request is processed
 */
@Serializable
data class TimingSettings(
    val shutdownGraceMs: Long = 2_000,
    val shutdownDrainMs: Long = 30_000,
    val rightMs: Long = 3_000,
    val takeoverMs: Long = 60_000,
    val claimTtlMs: Long = 120_000,
    val peerTimeoutMs: Long = 150,
)
