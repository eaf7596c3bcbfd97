package io.monsoonpath.model

import kotlinx.serialization.Serializable

/**
 * The settings of one entry instance, read from a file at start.
 *
 * @property instance this instance's id in the platform's instance list
 * @property caller where callers are served
 * @property peer where other instances connect
 * @property operator where operators, metrics and health checks are served
 * @property platformUrl the base address of the platform's configuration service, `http://IP:PORT`
 * @property peerSecretFile a file with one or two secrets, a line each; the first signs, all are accepted
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

/** A listening address: an IP number and a port; port 0 takes any free one. */
@Serializable
data class Endpoint(
    val host: String,
    val port: Int,
)

/**
 * Bounds on what one caller and all callers together may use.
 *
 * @property maxBodyBytes the largest body of a request
 * @property maxHeaderBytes the largest header block of a request
 * @property maxConnections the most connections of callers at once
 * @property maxRunning the most requests that run at once
 * @property maxQueued the most requests that wait for their turn
 * @property callerIdleTimeoutMs how long a connection may be idle, and how long a caller may take to send a request
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
 * Durations of the instance's own conduct.
 *
 * @property shutdownGraceMs how long new requests are still taken after readiness turned false
 * @property shutdownDrainMs how long running requests may take to complete after that
 * @property rightMs how long the right to act lasts after it was vouched for
 * @property claimTtlMs how long a request id that may not run twice is remembered; longer than any deadline of such a request
 * @property takeoverMs how long a fleet that started as a whole, or lost a majority at once, waits before it takes over what was held
 * @property peerTimeoutMs the longest wait for a peer's answer within a request
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
