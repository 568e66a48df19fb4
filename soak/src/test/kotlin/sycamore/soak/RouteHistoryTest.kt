package sycamore.soak

import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against a check of routes that detects nothing. */
class RouteHistoryTest {
    private val time = TestTimeSource()
    private val history = RouteHistory(time)
    private val route = ChangingRoute("/extra1/")

    private fun lateness(status: Int) = history.lateness(route, time.markNow(), status)

    @Test
    fun `a route that is refused after its apply time is late`() =
        runBlocking {
            history.replace(route) {}
            time += 2.seconds
            assertEquals(null, lateness(404))
            time += 600.milliseconds
            assertEquals(100.milliseconds, lateness(404))
            assertEquals(null, lateness(200))
        }

    @Test
    fun `a route that is served after it was dropped is late`() =
        runBlocking {
            history.replace(route) {}
            time += 10.seconds
            history.replace(null) { assertEquals(null, lateness(404)) }
            assertEquals(null, lateness(200))
            time += 3.seconds
            assertEquals(500.milliseconds, lateness(200))
            assertEquals(null, lateness(404))
        }
}
