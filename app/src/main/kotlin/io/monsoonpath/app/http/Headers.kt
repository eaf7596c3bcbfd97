package io.monsoonpath.app.http

/** The header with a request's id, towards callers and backend servers alike. */
internal const val REQUEST_ID_HEADER = "x-request-id"

/** The header with the time left for the answer, in milliseconds. */
internal const val DEADLINE_HEADER = "x-deadline-ms"

/** The header that names the stage of a call; the answer repeats it. */
internal const val STAGE_HEADER = "x-stage"

/** The header with the number of the attempt; the answer repeats it. */
internal const val ATTEMPT_HEADER = "x-attempt"

/** The header with the incarnation of a backend server, in its answers. */
internal const val INCARNATION_HEADER = "x-incarnation"

/** The header with the priority of the workspace, towards backend servers; lower numbers go first. */
internal const val PRIORITY_HEADER = "x-priority"

/** The header with the index of the first token wanted, where a stream is resumed. */
internal const val RESUME_HEADER = "x-resume-from"

/** The header with the address of the engine from which the KV cache of a resumed stream can be imported. */
internal const val KV_FROM_HEADER = "x-kv-from"

/** The header with the reason of a refusal, towards callers. */
internal const val REFUSAL_HEADER = "x-refusal"

/** The header with what is left of the workspace's rate; sent only where the rate is the cause of a refusal. */
internal const val RATE_REMAINING_HEADER = "x-ratelimit-remaining"
