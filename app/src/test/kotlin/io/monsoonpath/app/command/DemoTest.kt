package io.monsoonpath.app.command

import io.monsoonpath.app.demo.SESSIONS
import org.approvaltests.Approvals
import org.approvaltests.core.Options
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory

class DemoTest {
    @TestFactory
    fun `each session reads as its golden file`(): List<DynamicTest> =
        SESSIONS.map { session ->
            dynamicTest(session.name) {
                val name = session.name.replace(' ', '-')
                Approvals.verify(session.play(), Options().forFile().withBaseName("sessions/$name"))
            }
        }
}
