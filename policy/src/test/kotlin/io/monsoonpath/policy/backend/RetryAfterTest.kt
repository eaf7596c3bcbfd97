package io.monsoonpath.policy.backend

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class RetryAfterTest {
    private val cases =
        listOf(
            "5" to RetryAfter.Wait(5_000),
            "0" to RetryAfter.Wait(0),
            " 2 " to RetryAfter.Wait(2_000),
            "0.25" to RetryAfter.Wait(250),
            ".5" to RetryAfter.Wait(500),
            "1." to RetryAfter.Wait(1_000),
            "1.2345" to RetryAfter.Wait(1_235),
            "1e-05" to RetryAfter.Wait(1),
            "3600" to RetryAfter.Wait(MAX_RETRY_AFTER_MS),
            "3600.1" to RetryAfter.Wait(MAX_RETRY_AFTER_MS, isCapped = true),
            "1e999" to RetryAfter.Wait(MAX_RETRY_AFTER_MS, isCapped = true),
            "" to RetryAfter.Invalid,
            "." to RetryAfter.Invalid,
            "-1" to RetryAfter.Invalid,
            "+1" to RetryAfter.Invalid,
            "NaN" to RetryAfter.Invalid,
            "Infinity" to RetryAfter.Invalid,
            "1d" to RetryAfter.Invalid,
            "0x10" to RetryAfter.Invalid,
            "1, 2" to RetryAfter.Invalid,
            "soon" to RetryAfter.Invalid,
            "Sat, 05 Dec 2026 23:00:00 GMT" to RetryAfter.Invalid,
        )

    @TestFactory
    fun `a number of seconds is a wait, and anything else is invalid`() =
        cases.map { (text, expected) -> DynamicTest.dynamicTest("'$text'") { assertEquals(expected, parseRetryAfter(text)) } }
}
