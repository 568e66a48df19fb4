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

    /** Guards against a record that is adopted although its last part was not committed, or that lacks a part. */
    @Test
    fun `the parts of a record in several segments are joined, and a record without its last part is not committed`() {
        fun part(
            number: Long,
            vararg bytes: Byte,
        ) = LogSegment(home, "$number${bytes.size}", listOf(LogRecord(number, bytes)), isContinued = true)
        val segments =
            listOf(
                LogSegment(home, "1", listOf(record(1))),
                part(2, 20, 21),
                LogSegment(home, "3", listOf(LogRecord(2, byteArrayOf(22)))),
                LogSegment(home, "4", listOf(record(3))),
                part(4, 40),
            )
        val log = SealedLog(home, emptyList(), segments)
        val expected = listOf(record(1), LogRecord(2, byteArrayOf(20, 21, 22)), record(3))
        assertEquals(expected, log.recordsWith(emptyList()))
        assertEquals(expected + record(4), log.recordsWith(listOf(record(2), record(3), record(4))))
    }

    @Test
    fun `all retained records of a log without committed ones are adopted`() {
        val log = SealedLog(home, emptyList(), emptyList())
        assertEquals(listOf(1L, 2), log.recordsWith(listOf(record(1), record(2))).map { it.number })
    }
}
