package sycamore.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull

class IdsTest {
    private val home = HomeId(PlaceName("svea-a"), HostName("h1"), Incarnation("ab12"))

    @Test
    fun `a program id reads back from its text`() {
        val id = ProgramId(home, 7)
        assertEquals("svea-a.h1.ab12.7", id.toString())
        assertEquals(id, ProgramId.parse("svea-a.h1.ab12.7"))
    }

    @Test
    fun `other texts are not program ids`() {
        assertNull(ProgramId.parse(""))
        assertNull(ProgramId.parse("svea-a.h1.7"))
        assertNull(ProgramId.parse("svea-a.h1.ab12.x"))
        assertNull(ProgramId.parse("svea-a..ab12.7"))
    }

    @Test
    fun `a call id depends on caller, program and key`() {
        val id = CallId.of(CallerName("c"), ProgramId(home, 7), "k")
        assertEquals(id, CallId.of(CallerName("c"), ProgramId(home, 7), "k"))
        assertNotEquals(id, CallId.of(CallerName("d"), ProgramId(home, 7), "k"))
        assertNotEquals(id, CallId.of(CallerName("c"), ProgramId(home, 8), "k"))
        assertNotEquals(id, CallId.of(CallerName("c"), ProgramId(home, 7), "l"))
    }
}
