package sycamore.bench.history

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

class CheckTest {
    private val history by lazy { HistoryRun(seed = 5, length = 20.seconds, kinds = emptyList()).run().history }

    @Test
    fun `a run without faults keeps the order, the history and whole answers`() {
        assertEquals(emptyList(), checkOrder(history).map { it.detail })
        assertEquals(emptyList(), checkHistory(history).map { it.detail })
        assertEquals(emptyList(), checkWholeAnswer(history).map { it.detail })
        assertEquals(emptyList(), checkAtMostOnce(history).map { it.detail })
    }

    @Test
    fun `each check catches a history in which its promise is broken`() {
        val missed =
            Promise.entries.filter { promise ->
                val broken = assertNotNull(breaks.getValue(promise)(history.events), "$promise: nothing to break")
                promise.check(History(broken)).size <= promise.check(history).size
            }
        assertEquals(emptyList(), missed)
    }

    @Test
    fun `the same seed gives the same history`() {
        val again = HistoryRun(seed = 5, length = 20.seconds, kinds = emptyList()).run().history
        assertEquals(history.events, again.events)
    }
}
