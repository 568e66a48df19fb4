package sycamore.gateway

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.daemon.Background
import sycamore.daemon.InvalidEntries
import sycamore.links.GateStatus
import sycamore.links.HomeEndpoint
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.ServiceName
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreKeys
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against turns that wait and are refused although all homes accept turns again. After a power failure a gateway
 * asks the daemons beside the engines while they start, gets no answer, and used to leave them alone for a second.
 */
class AllHostsStartTogetherTest {
    private val service = ServiceName("engines")
    private val place = PlaceName("here")
    private var requests = 0

    @Test
    fun `a home is chosen soon after the homes accept connections`() =
        runTest {
            val chosenAt = choose { if (it < START) throw LinkException("refused", sent = false) }
            assertTrue(chosenAt - START <= 200.milliseconds, "a home was chosen $chosenAt after the failure")
        }

    @Test
    fun `a home is chosen as soon as it answers, however long its first answer takes`() =
        runTest {
            val chosenAt = choose { delay(START - it) }
            assertTrue(chosenAt - START <= 200.milliseconds, "a home was chosen $chosenAt after the failure")
            assertTrue(requests <= ENGINES, "$requests requests to $ENGINES engines that do not answer")
        }

    /** Chooses a home again and again, as turns do, until there is one. Returns the time that this took. */
    private suspend fun TestScope.choose(awaitAnswer: suspend (sinceFailure: Duration) -> Unit): Duration {
        val store = KeyValueStore(testTimeSource)
        val document = SampleDocuments.configuration("h", "/turns/", service.value, "/calls/", "plain")
        store.put(StoreKeys.CONFIGURATION, document, Revision.ABSENT)
        repeat(ENGINES) {
            val entry = SampleDocuments.upstreamEntry(service.value, Address("10.0.0.$it", 1), place.value)
            store.put(StoreKeys.UPSTREAMS + "u$it", entry, Revision.ABSENT)
        }
        val background = Background()
        val routes = RoutesInForce(store)
        val upstreams = UpstreamDirectory(store, InvalidEntries("upstream", SimpleMeterRegistry()), testTimeSource)
        val failure = testTimeSource.markNow()
        val engines =
            EngineDirectory(upstreams, routes, exchange(failure, awaitAnswer), 1, background, testTimeSource)
        backgroundScope.launch { background.run() }
        backgroundScope.launch { routes.run() }
        backgroundScope.launch { upstreams.run(backgroundScope) }
        val regions = mapOf(place to RegionName("here"))
        val selector = EngineSelector(Place(place, RegionName("here")), regions, engines)
        delay(10.milliseconds)
        var home: HomeEndpoint? = null
        while (home == null && failure.elapsedNow() < 5.seconds) {
            home = selector.chooseHome(service, emptySet())
            if (home == null) delay(100.milliseconds)
        }
        return failure.elapsedNow()
    }

    private fun exchange(
        failure: ComparableTimeMark,
        awaitAnswer: suspend (sinceFailure: Duration) -> Unit,
    ): (Address, Message) -> Flow<Message> =
        { _, _ ->
            flow {
                requests++
                awaitAnswer(failure.elapsedNow())
                emit(GateStatus(HomeId.parse("here.h.0123456789ab")!!, true, 0, 0, Duration.ZERO))
            }
        }

    private companion object {
        const val ENGINES = 5

        /** The time after which the daemons answer. */
        val START = 700.milliseconds
    }
}
