package sycamore.homes

import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.turns.LogRecord
import sycamore.turns.LogSegment
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against records that are adopted twice: a retainer that missed a commit still keeps records that the committed log
 * contains in a condensed form.
 */
class SealedLogTest {
    private val home = HomeId(PlaceName("p"), HostName("h"), Incarnation("i"))

    private fun record(number: Long) = LogRecord(number, byteArrayOf(number.toByte()))

    @Test
    fun `of the retained records only those that were not committed are added`() {
        val segments =
            listOf(
                LogSegment(home, "1", listOf(record(2), record(4))),
                LogSegment(home, "2", listOf(record(7))),
                LogSegment(home, "3", emptyList()),
                LogSegment(home, "seal", emptyList(), sealedBy = home),
            )
        val log = SealedLog(home, emptyList(), segments)
        val retained = listOf(record(3), record(7), record(8), record(9), record(8))
        assertEquals(listOf(2L, 4, 7, 8, 9), log.recordsWith(retained).map { it.number })
    }

    @Test
    fun `all retained records of a log without committed ones are adopted`() {
        val log = SealedLog(home, emptyList(), emptyList())
        assertEquals(listOf(1L, 2), log.recordsWith(listOf(record(1), record(2))).map { it.number })
    }
}
