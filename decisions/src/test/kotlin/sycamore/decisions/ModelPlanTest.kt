package sycamore.decisions

import sycamore.model.ModelName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against upstreams that spend their time on changes of models or roles: demand that fluctuates around a
 * threshold would otherwise cause one change after the other.
 */
class ModelPlanTest {
    private val plan = ModelPlan()
    private val a = ModelName("a")
    private val b = ModelName("b")

    private fun decide(
        workOfA: Duration,
        workOfB: Duration,
        slots: Int = 1,
        sinceChange: Duration? = null,
        fetch: Duration = 10.seconds,
    ) = plan.decide(
        loaded = setOf(a),
        loadable = setOf(a, b),
        slots = slots,
        demands = listOf(ModelDemand(a, workOfA), ModelDemand(b, workOfB)),
        sinceChange = sinceChange,
        fetch = fetch,
    )

    @Test
    fun `a model replaces another only for clearly more work`() {
        assertEquals(ModelChange.Keep("a has 1m of work, b 1m 30s"), decide(1.minutes, 1.5.minutes))
        assertEquals(ModelChange.Swap(b, unload = a), decide(1.minutes, 2.minutes))
    }

    @Test
    fun `a free slot needs no replacement`() =
        assertEquals(ModelChange.Swap(b, unload = null), decide(5.minutes, 1.minutes, slots = 2))

    @Test
    fun `models are not changed too soon, for too little work or while the weight store is slow`() {
        assertIs<ModelChange.Keep>(decide(Duration.ZERO, 5.minutes, sinceChange = 5.minutes))
        assertIs<ModelChange.Keep>(decide(Duration.ZERO, 5.minutes, fetch = 6.minutes))
        assertIs<ModelChange.Keep>(decide(Duration.ZERO, 10.seconds))
    }

    @Test
    fun `a role is kept through small changes of the work`() {
        val roles = RolePlan()
        val shares = listOf(0.5, 0.75, 0.85, 0.7, 0.6, 0.15, 0.3, 0.4)
        val seen = shares.runningFold(UpstreamRole.MIXED) { role, share -> roles.decide(role, share) }.drop(1)
        assertEquals(
            listOf(
                UpstreamRole.MIXED,
                UpstreamRole.MIXED,
                UpstreamRole.PREFILL,
                UpstreamRole.PREFILL,
                UpstreamRole.MIXED,
                UpstreamRole.DECODE,
                UpstreamRole.DECODE,
                UpstreamRole.MIXED,
            ),
            seen,
        )
    }
}
