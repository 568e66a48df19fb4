package sycamore.programs

import sycamore.model.Epoch
import sycamore.programs.ProgramStateTest.Companion.id
import sycamore.programs.ProgramStateTest.Companion.started
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Guards against losing records before their home commits them, accepting records of a home that was taken over, and
 * exceeding the memory limit.
 */
class RetainedRecordsTest {
    private val home = id.origin
    private val records = (1L..3L).map { NumberedRecord(it, it, Epoch.FIRST, started) }
    private val recordBytes = records.first().record.approximateBytes

    @Test
    fun `records are retained until their home has committed them`() {
        val retained = RetainedRecords()
        assertTrue(retained.retain(home, 0, records))
        assertTrue(retained.retain(home, 2, emptyList()))

        assertEquals(records.drop(2), retained.end(home))
        assertEquals(recordBytes, retained.size)
    }

    @Test
    fun `no records of a home that has ended are accepted`() {
        val retained = RetainedRecords()
        retained.end(home)

        assertFalse(retained.retain(home, 0, records))
    }

    @Test
    fun `records that exceed the maximum size are not accepted`() {
        val retained = RetainedRecords(maxBytes = 2 * recordBytes)

        assertFalse(retained.retain(home, 0, records))
        assertTrue(retained.retain(home, 0, records.take(2)))
        retained.discard(home)
        assertEquals(0, retained.size)
    }
}
