package io.monsoonpath.app.config

import io.monsoonpath.app.standin.demoConfiguration
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Event
import io.monsoonpath.model.Problem
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationStoreTest {
    private val events = mutableListOf<Event>()
    private val store = ConfigurationStore(events::add)

    private fun adopt(revision: Long) = store.adopt(demoConfiguration(emptyMap()).copy(revision = ConfigRevision(revision)), "test")

    @Test
    fun `only a higher revision replaces the active one`() {
        assertEquals(listOf(true, false, false, true, false), listOf(5L, 5, 4, 7, 6).map { adopt(it) })
        assertEquals(ConfigRevision(7), store.revision)
        assertEquals(2, events.count { it is Event.ConfigurationAdopted })
    }

    @Test
    fun `a rejected document changes only the rejections and not the active revision`() {
        adopt(5)
        repeat(2) { store.reject("configuration", listOf(Problem("$.pools", "[]", "must name a pool $it"))) }
        assertEquals(ConfigRevision(5), store.revision)
        assertEquals(2, store.rejections.count)
        assertEquals(listOf("$.pools: []: must name a pool 1"), store.rejections.lastProblems)
        assertEquals(2, events.count { it is Event.DocumentRejected })
    }
}
