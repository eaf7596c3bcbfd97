package io.monsoonpath.coordination.crash

import com.dynatrace.hash4j.hashing.Hashing
import io.monsoonpath.model.PromptPartId

/** Hashes are added up, so the digest of a set does not depend on the order in which its elements arrived. */
internal fun hashOf(report: ReportId): Long = hash("report", report.host, report.incarnation, report.number)

internal fun hashOf(
    crash: CrashId,
    clearedPart: PromptPartId,
): Long = hash("cleared", crash.backend.value, crash.startedAtUnixMs, 0, clearedPart.value)

private fun hash(
    kind: String,
    name: String,
    first: Long,
    second: Long,
    detail: String = "",
): Long =
    Hashing
        .komihash5_0()
        .hashStream()
        .putString(kind)
        .putString(name)
        .putLong(first)
        .putLong(second)
        .putString(detail)
        .asLong
