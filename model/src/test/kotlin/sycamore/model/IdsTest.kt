package sycamore.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull

/**
 * Guards against ids that are not parsed back from their text form, and against equal ids for different calls, by which
 * one call would get the answer of another.
 */
class IdsTest {
    private val home = HomeId(PlaceName("svea-a"), HostName("h1"), Incarnation("ab12"))

    @Test
    fun `a program id is parsed from its text form`() {
        val id = ProgramId(home, 7)
        assertEquals("svea-a.h1.ab12.7", id.toString())
        assertEquals(id, ProgramId.parse("svea-a.h1.ab12.7"))
    }

    @Test
    fun `malformed texts are not parsed as program ids`() {
        assertNull(ProgramId.parse(""))
        assertNull(ProgramId.parse("svea-a.h1.7"))
        assertNull(ProgramId.parse("svea-a.h1.ab12.x"))
        assertNull(ProgramId.parse("svea-a..ab12.7"))
    }

    @Test
    fun `a call id is determined by the caller, the program and the key`() {
        val id = CallId.fromKey(CallerName("c"), ProgramId(home, 7), "k")
        assertEquals(id, CallId.fromKey(CallerName("c"), ProgramId(home, 7), "k"))
        assertNotEquals(id, CallId.fromKey(CallerName("d"), ProgramId(home, 7), "k"))
        assertNotEquals(id, CallId.fromKey(CallerName("c"), ProgramId(home, 8), "k"))
        assertNotEquals(id, CallId.fromKey(CallerName("c"), ProgramId(home, 7), "l"))
    }
}
