package io.monsoonpath.gateway.crash

/** Protects backend servers from prompts that crash them: [detector] finds the crashes, and [quarantine] what to do about them. */
class CrashProtection(
    val detector: CrashDetector,
    val quarantine: CrashQuarantine,
)
