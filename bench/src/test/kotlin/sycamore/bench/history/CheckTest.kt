package sycamore.bench.history

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

/** Guards against checks that report violations in a correct history, or that detect none in a wrong one. */
class CheckTest {
    private val history by lazy { HistoryRun(seed = 5, length = 20.seconds, kinds = emptyList()).run().history }

    @Test
    fun `a run without faults keeps the order and the history, and its answers are complete`() {
        assertEquals(emptyList(), checkOrder(history).map { it.detail })
        assertEquals(emptyList(), checkHistory(history).map { it.detail })
        assertEquals(emptyList(), checkCompleteAnswer(history).map { it.detail })
        assertEquals(emptyList(), checkAtMostOnce(history).map { it.detail })
    }

    @Test
    fun `each check detects a history that violates its invariant`() {
        val missed =
            Invariant.entries.filter { invariant ->
                val broken =
                    assertNotNull(
                        violationInjectors.getValue(invariant)(history.events),
                        "$invariant: no event to change",
                    )
                invariant.check(History(broken)).size <= invariant.check(history).size
            }
        assertEquals(emptyList(), missed)
    }

    @Test
    fun `the same seed gives the same history`() {
        val again = HistoryRun(seed = 5, length = 20.seconds, kinds = emptyList()).run().history
        assertEquals(history.events, again.events)
    }
}
