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
