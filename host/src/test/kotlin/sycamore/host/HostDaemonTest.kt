package sycamore.host

import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.flow.single
import kotlinx.coroutines.test.runTest
import sycamore.links.Declined
import sycamore.links.EvictProgram
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.model.ProgramId
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an eviction that is acknowledged before the daemon has a configuration. A daemon that has just started
 * does not know its engine yet; the home would record the cache as evicted while the engine still holds it.
 */
class HostDaemonTest {
    private val self = Host(HostName("m0"), PlaceName("svea-a"), Address("10.0.0.1", 7400), Incarnation("a"))

    @Test
    fun `a host without a configuration does not acknowledge an eviction`() =
        runTest {
            val daemon =
                hostDaemon(self) {
                    keys = KeyValueStore(testScheduler.timeSource)
                    exchange = { _, _ -> emptyFlow() }
                    engine = { _, _ -> emptyFlow() }
                    service = { _, _ -> emptyFlow() }
                    evictCache = { _, _ -> true }
                }
            val program = ProgramId(HomeId(self.place, self.name, self.incarnation), 1)
            val reply = assertIs<Declined>(daemon.serve(HostName("m1"), EvictProgram(program)).single())
            assertEquals("no configuration is in force yet", reply.reason)
            assertEquals(1.seconds, reply.retryAfter)
        }
}
