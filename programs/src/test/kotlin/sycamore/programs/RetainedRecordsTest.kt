package sycamore.programs

import sycamore.model.Epoch
import sycamore.programs.ProgramStateTest.Companion.id
import sycamore.programs.ProgramStateTest.Companion.started
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RetainedRecordsTest {
    private val home = id.origin
    private val records = (1L..3L).map { Numbered(it, it, Epoch.FIRST, started) }
    private val weight = records.first().record.weight

    @Test
    fun `records are kept until their home has committed them`() {
        val retained = RetainedRecords()
        assertTrue(retained.keep(home, 0, records))
        assertTrue(retained.keep(home, 2, emptyList()))

        assertEquals(records.drop(2), retained.end(home))
        assertEquals(weight, retained.size)
    }

    @Test
    fun `nothing more is accepted of a home that has ended`() {
        val retained = RetainedRecords()
        retained.end(home)

        assertFalse(retained.keep(home, 0, records))
    }

    @Test
    fun `what exceeds the bound is not accepted`() {
        val retained = RetainedRecords(maxBytes = 2 * weight)

        assertFalse(retained.keep(home, 0, records))
        assertTrue(retained.keep(home, 0, records.take(2)))
        retained.drop(home)
        assertEquals(0, retained.size)
    }
}
