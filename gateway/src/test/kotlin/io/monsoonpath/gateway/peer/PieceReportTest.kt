package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.stage.PieceFailure
import io.monsoonpath.gateway.stage.PieceResult
import kotlin.test.Test
import kotlin.test.assertEquals

class PieceReportTest {
    private fun resultOf(
        handle: String? = null,
        failure: PieceFailure? = null,
    ) = PieceReport("r", 0, 0, handle, failure).toResult()

    @Test
    fun `a report is a result, a failure or a start`() {
        assertEquals(PieceResult.Completed("10.0.0.1:80/5c1e"), resultOf("10.0.0.1:80/5c1e"))
        assertEquals(PieceResult.Failed(PieceFailure.INPUT_GONE), resultOf(failure = PieceFailure.INPUT_GONE))
        assertEquals(PieceResult.Started, resultOf())
    }

    @Test
    fun `a handle that cannot be sent in a header is a failure`() {
        for (handle in listOf("", "a,b", "a b", "a\r\nx: y", "a\nb", "\u0000", "ä", "a".repeat(10_000))) {
            assertEquals(PieceResult.Failed(PieceFailure.WORKER_FAILED), resultOf(handle), handle.take(9))
        }
    }
}
