package io.monsoonpath.gateway.crash

import io.monsoonpath.gateway.stream.RunCopies

/**
 * Protects backend servers from prompts that crash them: [detector] finds the crashes, [quarantine] what to do about them, and [catchUp]
 * holds requests back until this process knows what the other instances have found. [copies] lets streams outlive the crash of their
 * engine.
 */
class CrashProtection(
    val detector: CrashDetector,
    val quarantine: CrashQuarantine,
    val catchUp: EvidenceCatchUp,
    val copies: RunCopies,
    val fates: ServerFates,
)
