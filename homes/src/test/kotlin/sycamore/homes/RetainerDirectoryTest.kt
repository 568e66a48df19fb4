package sycamore.homes

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.test.runTest
import sycamore.links.AskGate
import sycamore.links.GateStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetainerDirectoryTest {
    /** Two of three copies went to another region, 24 ms away there and back and paid for by their bytes. */
    @Test
    fun `records are kept in the region of their home, at more than one place of it`() =
        runTest {
            val fixture = HomeFixture(this, maxLostDisks = 2, regions = mapOf("p1" to "r1", "p2" to "r1", "p3" to "r2"))
            listOf("p1", "p1", "p2", "p2", "p3", "p3").forEachIndexed {
                index,
                place,
                ->
                fixture.retainer(index + 1, place)
            }
            fixture.home(1)
            while (!(
                    fixture
                        .exchange(
                            HomeFixture.address(1),
                            AskGate,
                        ).first() as GateStatus
                ).isReady
            ) {
                delay(10.milliseconds)
            }
            repeat(3) { fixture.turn(1, "t$it") }
            delay(1.seconds)
            val places =
                fixture.retainers
                    .filter { it.messages > 0 }
                    .map { it.self.place.value }
                    .sorted()
            assertEquals(listOf("p1", "p1", "p2"), places)
        }
}
