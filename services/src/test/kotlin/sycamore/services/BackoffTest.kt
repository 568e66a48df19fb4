package sycamore.services

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against retry loops that overload a failing service: pauses that do not grow, or are the same everywhere. */
class BackoffTest {
    @Test
    fun `pauses double up to the maximum and have jitter`() {
        val backoff = Backoff(100.milliseconds, 1.seconds, Random(1))
        val bounds = listOf(100, 200, 400, 800, 1000, 1000).map { it.milliseconds }
        val pauses = bounds.map { backoff.next() }
        pauses.zip(bounds).forEach { (pause, bound) -> assertTrue(pause in bound / 2..bound, "$pause of $bound") }
        assertTrue(pauses[4] != pauses[5])
    }

    @Test
    fun `a reset starts again with the first pause`() {
        val backoff = Backoff(100.milliseconds, 1.seconds, Random(1))
        repeat(5) { backoff.next() }
        backoff.reset()
        assertTrue(backoff.next() <= 100.milliseconds)
    }
}
