package sycamore.decisions

import sycamore.model.HostName
import sycamore.model.Link
import sycamore.model.ModelName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.Weights
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against placing a program on an upstream that costs it time, cached history or billed bytes, against sending
 * all calls between two summaries to one upstream, and against programs that move back and forth.
 */
class PlacerTest {
    private val near = PlaceName("near")
    private val far = PlaceName("far")
    private val network =
        Network(
            listOf(Place(near, RegionName("a")), Place(far, RegionName("b"))),
            listOf(Link(RegionName("a"), RegionName("b"), 12.milliseconds, billed = true)),
        )
    private val h1 = UpstreamState(HostName("h1"), near, capacity = 8, memoryTokens = 10_000)
    private val h2 = UpstreamState(HostName("h2"), far, capacity = 8, memoryTokens = 10_000)
    private val request = PlacementRequest(from = near, newTokens = 1_000)

    private fun best(
        request: PlacementRequest,
        vararg upstreams: UpstreamState,
        weights: Weights = Weights(),
    ): HostName = assertIs<Placement.Chosen>(Placer(network, weights).place(request, upstreams.toList())).best.host

    @Test
    fun `the best upstream is an idle one nearby`() = assertEquals(h1.host, best(request, h2, h1))

    @Test
    fun `a long wait outweighs the distance`() = assertEquals(h2.host, best(request, h1.copy(wait = 5.seconds), h2))

    @Test
    fun `a cached history outweighs a short wait`() {
        val returning = request.copy(historyTokens = 8_000, home = h2.host, resident = mapOf(h2.host to 8_000L))
        assertEquals(h2.host, best(returning, h1, h2.copy(wait = 500.milliseconds)))
    }

    @Test
    fun `billed bytes count in proportion to the waste weight of the service`() {
        val largeTurns = request.copy(bytesPerTurn = 100_000, turns = 10.0)
        val busy = h1.copy(wait = 200.milliseconds)
        assertEquals(h2.host, best(largeTurns, busy, h2, weights = Weights(latency = 1.0, waste = 0.0)))
        assertEquals(h1.host, best(largeTurns, busy, h2, weights = Weights(latency = 1.0, waste = 2.0)))
    }

    @Test
    fun `a program is not placed where its cache would be evicted`() {
        val crowded = h1.copy(committedTokens = 100_000)
        assertEquals(h2.host, best(request.copy(turns = 10.0), crowded, h2))
    }

    @Test
    fun `each unfit upstream is listed with its reason`() {
        val upstreams =
            listOf(
                h1.copy(models = setOf(ModelName("small"))),
                h2.copy(isAccepting = false),
                UpstreamState(HostName("h3"), far, capacity = 1, memoryTokens = 100),
            )
        val placement = Placer(network, Weights()).place(request.copy(model = ModelName("big")), upstreams)
        val reasons = assertIs<Placement.Nowhere>(placement).unfit.map { it.toString() }
        assertEquals(
            listOf(
                "h1: expected model big, found small",
                "h2: takes no calls",
                "h3: expected memory for 1128 tokens, found 100",
            ),
            reasons,
        )
    }

    @Test
    fun `calls placed since the last summary count as load`() {
        var states = listOf(h1.copy(running = 8), h2.copy(running = 8))
        val first = best(request, *states.toTypedArray())
        repeat(50) { states = states.map { if (it.host == first) it.afterPlacing(request) else it } }
        assertEquals(h2.host, best(request, *states.toTypedArray()))
    }

    @Test
    fun `a move has to save enough, and two moves of a program are some time apart`() {
        val placer = Placer(network, Weights())
        val policy = MovePolicy(minSavingShare = 0.3, minSavingSeconds = 1.0, minInterval = 30.seconds)
        val placement = placer.place(request, listOf(h2))
        val current = { wait: Int -> placer.evaluate(request, h1.copy(wait = wait.seconds)) }
        assertIs<MoveDecision.Stay>(policy.decide(current(1), placement, sinceMoved = null))
        assertIs<MoveDecision.Move>(policy.decide(current(20), placement, sinceMoved = null))
        assertIs<MoveDecision.Stay>(policy.decide(current(20), placement, sinceMoved = 10.seconds))
    }
}
