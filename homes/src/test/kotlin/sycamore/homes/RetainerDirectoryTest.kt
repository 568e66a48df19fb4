package sycamore.homes

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.test.runTest
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetainerDirectoryTest {
    /**
     * Guards against retainers that are chosen in different places without regard to their regions. Two of three
     * copies then went to another region, at a round trip of 24 ms and a price for each byte.
     */
    @Test
    fun `records are kept in the region of their home, in more than one place of it`() =
        runTest {
            val fixture = HomeFixture(this, maxLostDisks = 2, regions = mapOf("p1" to "r1", "p2" to "r1", "p3" to "r2"))
            val places = listOf("p1", "p1", "p2", "p2", "p3", "p3")
            places.forEachIndexed { index, place -> fixture.startRetainer(index + 1, place) }
            fixture.startHome(1)
            while (!fixture.gateStatus(1).isReady) delay(10.milliseconds)
            repeat(3) { fixture.sendTurn(1, "t$it") }
            delay(1.seconds)
            val usedPlaces =
                fixture.retainers
                    .filter { it.messages > 0 }
                    .map { it.self.place.value }
                    .sorted()
            assertEquals(listOf("p1", "p1", "p2"), usedPlaces)
        }

    private suspend fun HomeFixture.gateStatus(number: Int): GateStatus =
        exchange(HomeFixture.address(number), GetGateStatus).first() as GateStatus
}
