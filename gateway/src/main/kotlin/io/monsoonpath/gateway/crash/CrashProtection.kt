package io.monsoonpath.gateway.crash

/**
 * Protects backend servers from prompts that crash them: [detector] finds the crashes, [quarantine] what to do about them, and [catchUp]
 * holds requests back until this process knows what the other instances have found.
 */
class CrashProtection(
    val detector: CrashDetector,
    val quarantine: CrashQuarantine,
    val catchUp: EvidenceCatchUp,
)
