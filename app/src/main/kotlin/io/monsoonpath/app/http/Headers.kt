package io.monsoonpath.app.http

/** The header with the id of a request, used with callers and with backend servers. */
internal const val REQUEST_ID_HEADER = "x-request-id"

/** The header with the time that is left until the answer must be complete, in milliseconds. */
internal const val DEADLINE_HEADER = "x-deadline-ms"

/** The header with the id of the stage that is called; the answer must repeat it. */
internal const val STAGE_HEADER = "x-stage"

/** The header with the number of the attempt; the answer must repeat it. */
internal const val ATTEMPT_HEADER = "x-attempt"

/** The header with the incarnation of a backend server, which the server adds to its answers. */
internal const val INCARNATION_HEADER = "x-incarnation"

/** The header with the priority of the workspace, sent to backend servers; lower numbers are served first. */
internal const val PRIORITY_HEADER = "x-priority"

/** The header with the index of the first token to send, present only when a stream is resumed. */
internal const val RESUME_HEADER = "x-resume-from"

/** The header with the address of the engine from which the KV cache of a resumed stream can be imported. */
internal const val KV_FROM_HEADER = "x-kv-from"

/** The header with the reason for a refusal, sent to callers. */
internal const val REFUSAL_HEADER = "x-refusal"

/** The header with the rest of the workspace's rate limit; sent only when the rate limit is the reason for a refusal. */
internal const val RATE_REMAINING_HEADER = "x-ratelimit-remaining"
