package sycamore.routing

import sycamore.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against UNASKED, LOST and BUDGET: calls that a home has to run were taken for others, as their service had no engines. */
class CallKindTest {
    @Test
    fun `a call on a streaming route that retains history is a turn`() {
        assertEquals(CallKind.TURN, kind(RepeatPolicy.ONCE_STREAMED, retention = 60.seconds))
    }

    @Test
    fun `a call on a streaming route with a token budget is a turn, also without history`() {
        assertEquals(CallKind.TURN, kind(RepeatPolicy.ONCE_STREAMED, tokenBudget = 100))
    }

    @Test
    fun `another call on a streaming route is a stream`() {
        assertEquals(CallKind.STREAM, kind(RepeatPolicy.ONCE_STREAMED))
    }

    @Test
    fun `a call on another route is single, whatever its caller states`() {
        assertEquals(CallKind.SINGLE, kind(RepeatPolicy.ONCE, tokenBudget = 100))
        assertEquals(CallKind.SINGLE, kind(RepeatPolicy.IDEMPOTENT, retention = 60.seconds))
    }

    private fun kind(
        repeat: RepeatPolicy,
        retention: Duration? = null,
        tokenBudget: Long? = null,
    ): CallKind {
        val services = listOf(WeightedService(ServiceName("s"), weight = 1))
        val route = Route("r", "h", "/", repeat, 1.seconds, 1.seconds, 0, services, attempts = 1, retention)
        return CallKind.of(route, CallerHead(AttemptId("a"), timeLeft = null, tokenBudget = tokenBudget))
    }
}
