package sycamore.decisions.turns

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against a poor choice of engine: turns that wait at one place while engines elsewhere are idle, and traffic to
 * another region that saves no time.
 */
class EnginePlacementTest {
    private fun load(
        name: String,
        distance: Distance = Distance.SAME_PLACE,
        wait: Duration = Duration.ZERO,
        turns: Int = 0,
    ) = EngineLoad(name, distance, wait, turns)

    private fun best(vararg loads: EngineLoad<String>) = EnginePlacement.best(loads.toList())?.engine

    @Test
    fun `without engines there is no best one`() = assertNull(best())

    @Test
    fun `the engine with fewer turns is chosen`() = assertEquals("b", best(load("a", turns = 3), load("b", turns = 2)))

    @Test
    fun `turns that would wait at their own place go to idle engines elsewhere`() =
        assertEquals(
            "near",
            best(
                load("own", wait = 200.milliseconds, turns = 8),
                load("near", Distance.SAME_REGION),
                load("far", Distance.OTHER_REGION),
            ),
        )

    @Test
    fun `an engine nearby with a few turns is better than an idle one in another region`() =
        assertEquals("own", best(load("own", turns = 4), load("far", Distance.OTHER_REGION)))

    @Test
    fun `engines at other places are not queried while one nearby is nearly idle`() {
        assertTrue(EnginePlacement.isGoodEnough(load("own", turns = 4), Distance.SAME_REGION))
        assertFalse(EnginePlacement.isGoodEnough(load("own", wait = 100.milliseconds, turns = 8), Distance.SAME_REGION))
    }
}
