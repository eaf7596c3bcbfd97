package io.monsoonpath.app.command

import io.monsoonpath.app.demo.SESSIONS
import org.approvaltests.Approvals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

class DemoTest {
    @ParameterizedTest
    @MethodSource("sessionNames")
    fun session(name: String) {
        val transcript = SESSIONS.single { it.name == name }.runOnNewFleet()
        assertEquals(emptyList(), transcript.failures)
        Approvals.verify(transcript, Approvals.NAMES.withParameters(name.replace(' ', '-')))
    }

    companion object {
        @JvmStatic
        fun sessionNames(): List<String> = SESSIONS.map { it.name }
    }
}
