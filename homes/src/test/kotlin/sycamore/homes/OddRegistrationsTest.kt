package sycamore.homes

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.test.runTest
import sycamore.homes.HomeFixture.Companion.outcome
import sycamore.links.FindTurn
import sycamore.links.TurnFound
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.routing.AttemptId
import sycamore.services.Revision
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import sycamore.turns.RetainerKeys
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against homes that stop serving once another program has written a value among the registrations. */
class OddRegistrationsTest {
    private val other = HomeId.parse("p1.h9.0123456789ab")!!

    private val odd =
        listOf(
            "",
            "null",
            "[]",
            "17",
            "{}",
            "[".repeat(100_000),
            "{\"a\":".repeat(100_000),
            """{"home":17,"id":17}""",
            HomeKeys.encode(HomeEntry(other, Address("10.0.0.9", 99_999))).decodeToString(),
            HomeKeys.encode(HomeEntry(other, Address("10.0.0.9", 7000), successor = other)).decodeToString(),
            "{\"later\":" + "[".repeat(50_000) + "]".repeat(50_000) + "}",
        )

    @Test
    fun `a home serves turns and finds former homes complete beside registrations that cannot be decoded`() =
        runTest {
            val fixture = HomeFixture(this)
            for ((index, value) in odd.withIndex()) {
                fixture.keys.put(HomeKeys.PREFIX + "odd$index", value.encodeToByteArray(), Revision.ABSENT)
                fixture.keys.put(RetainerKeys.PREFIX + "odd$index", value.encodeToByteArray(), Revision.ABSENT)
            }
            repeat(3) { fixture.startRetainer(it + 1) }
            fixture.startHome(1)
            delay(5.seconds)
            assertEquals("whole", fixture.sendTurn(1, "t1").outcome())
            val reply = fixture.exchange(HomeFixture.address(1), FindTurn(AttemptId("t1"))).first()
            assertTrue(assertIs<TurnFound>(reply).isComplete, "the home has not finished reading its former homes")
        }

    @Test
    fun `a home is taken over beside registrations that cannot be decoded`() =
        runTest {
            val fixture = HomeFixture(this)
            for ((index, value) in odd.withIndex()) {
                fixture.keys.put(HomeKeys.PREFIX + "odd$index", value.encodeToByteArray(), Revision.ABSENT)
            }
            repeat(3) { fixture.startRetainer(it + 1) }
            fixture.startHome(1)
            delay(5.seconds)
            assertEquals("whole", fixture.sendTurn(1, "t1").outcome())
            fixture.kill(HomeFixture.address(1))
            fixture.startHome(1)
            delay(5.seconds)
            assertEquals("whole", fixture.sendTurn(1, "t2", previous = "t1").outcome())
        }
}
