package sycamore.ctl

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.daemon.ConfigurationCodec
import sycamore.daemon.InForce
import sycamore.model.Address
import sycamore.model.Budget
import sycamore.model.Configuration
import sycamore.model.Contract
import sycamore.model.Generation
import sycamore.model.HostName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import sycamore.model.Upstream
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.standins.FaultyKeyValue
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Guards against publishes that undo or corrupt the change of another operator, which arises when both publish at the
 * same time or from an outdated directory, and against dangerous changes that take effect unconfirmed.
 */
class PublishTest {
    private val place = Place(PlaceName("svea-a"), RegionName("svea"))
    private val guarded = Contract("POST", "/deposits*", idempotent = false)
    private val empty = Configuration(Generation.NONE, "", listOf(place), emptyList(), emptyList(), emptyList())

    private fun service(
        name: String,
        port: Int,
        capacity: Int = 10,
        contracts: List<Contract> = listOf(guarded),
    ): Service {
        val upstream = Upstream(HostName("h$port"), place.name, Address("10.0.0.1", port), capacity)
        return Service(ServiceName(name), ServiceKind.SERVICE, listOf(upstream), contracts)
    }

    private fun files(vararg services: Service) = empty.copy(services = services.toList())

    private suspend fun publish(
        keys: KeyValue,
        files: Configuration,
        by: String = "anna",
        vararg confirmed: String,
        meanwhile: suspend () -> Unit = {},
    ): PublishResult =
        Publish(keys).run(PublishRequest(files, "$by-${files.hashCode()}", by, confirmed.toSet())) { _, _ ->
            meanwhile()
            true
        }

    private suspend fun KeyValue.published(): Configuration =
        ConfigurationCodec.decode((get(InForce.KEY) as ReadResult.Found).value!!.value!!)

    private fun TestScope.store() = KeyValueStore(testTimeSource)

    @Test
    fun `a first publish is generation 1 and the same files change nothing`() =
        runTest {
            val keys = store()
            val files = files(service("a", 1))
            assertEquals(Generation(1), assertIs<PublishResult.Accepted>(publish(keys, files)).generation)
            assertEquals(PublishResult.Unchanged(Generation(1)), publish(keys, files))
        }

    @Test
    fun `concurrent publishes of different services are both accepted`() =
        runTest {
            val keys = store()
            publish(keys, files(service("a", 1), service("b", 2)))
            var raced = false
            val first =
                publish(keys, files(service("a", 1, capacity = 11), service("b", 2))) {
                    if (raced) return@publish
                    raced = true
                    publish(keys, files(service("a", 1), service("b", 2, capacity = 12)), "berta")
                }
            assertEquals(Generation(3), assertIs<PublishResult.Accepted>(first).generation)
            assertEquals(listOf(11, 12), keys.published().services.map { it.capacity })
        }

    @Test
    fun `concurrent publishes of one service are a conflict that names the other operator`() =
        runTest {
            val keys = store()
            publish(keys, files(service("a", 1)))
            val late =
                publish(keys, files(service("a", 1, capacity = 11))) {
                    publish(keys, files(service("a", 1, capacity = 12)), "berta")
                }
            assertEquals(PublishResult.Conflicting(listOf("service a"), "berta", Generation(2)), late)
            assertEquals(
                12,
                keys
                    .published()
                    .services
                    .single()
                    .capacity,
            )
        }

    @Test
    fun `a publish whose answer was lost is accepted once, even when another covered it`() =
        runTest {
            val store = store()
            val keys = FaultyKeyValue(store, testTimeSource)
            publish(keys, files(service("a", 1)))
            keys.setFaults { it.copy(lostAnswers = 1) }
            val accepted = publish(keys, files(service("a", 1, capacity = 11)))
            assertEquals(Generation(2), assertIs<PublishResult.Accepted>(accepted).generation)
            assertEquals(Generation(2), keys.published().generation)
        }

    @Test
    fun `an outage leaves a publish without effect, or with an unknown outcome if it was sent`() =
        runTest {
            val keys = FaultyKeyValue(store(), testTimeSource)
            keys.setFaults { it.copy(down = true) }
            assertIs<PublishResult.Failed>(publish(keys, files(service("a", 1))))
            keys.setFaults { it.copy(down = false) }
            val cut = publish(keys, files(service("a", 1))) { keys.setFaults { it.copy(down = true) } }
            assertIs<PublishResult.OutcomeUnknown>(cut)
        }

    @Test
    fun `dangerous changes are refused until they are confirmed by name`() =
        runTest {
            val keys = store()
            publish(keys, files(service("a", 1), service("b", 2)))
            val changed = files(service("a", 1, capacity = 6))
            val refused = assertIs<PublishResult.Unconfirmed>(publish(keys, changed))
            assertEquals(
                listOf(
                    "a: capacity is cut by 40%, from 10 to 6",
                    "b: the service is removed",
                    "fleet: capacity of all services together is cut by 70%, from 20 to 6",
                ),
                refused.dangers.map { it.toString() },
            )
            assertIs<PublishResult.Unconfirmed>(publish(keys, changed, "anna", "a", "b"))
            assertIs<PublishResult.Accepted>(publish(keys, changed, "anna", "a", "b", "fleet"))
        }

    @Test
    fun `removing or overriding a contract that forbids repeats has to be confirmed`() =
        runTest {
            val keys = store()
            publish(keys, files(service("a", 1)))
            val covered = listOf(Contract("POST", "/deposits/refund", idempotent = true), guarded)
            val repeatable = listOf(Contract("*", "/dep*", idempotent = true))
            listOf(covered, repeatable).forEach { contracts ->
                val refused = assertIs<PublishResult.Unconfirmed>(publish(keys, files(service("a", 1, 10, contracts))))
                assertTrue(
                    refused.dangers
                        .single()
                        .reason
                        .endsWith("may be repeated from now on"),
                    "$refused",
                )
            }
            val harmless = listOf(guarded, Contract("GET", "/*", idempotent = true))
            assertIs<PublishResult.Accepted>(publish(keys, files(service("a", 1, 10, harmless))))
        }

    @Test
    fun `undoing another operator's change from an outdated directory has to be confirmed`() =
        runTest {
            val keys = store()
            publish(keys, files(service("a", 1)))
            publish(keys, files(service("a", 1, capacity = 12)), "berta")
            val refused = assertIs<PublishResult.Unconfirmed>(publish(keys, files(service("a", 1), service("b", 2))))
            val expected = "a: service a goes back to what berta replaced in generation 2; is it out of date?"
            assertEquals(listOf(expected), refused.dangers.map { it.toString() })
        }

    @Test
    fun `two publishes that are valid alone and invalid together are refused`() =
        runTest {
            val keys = store()
            publish(keys, files(service("a", 1)))
            val late =
                publish(keys, files(service("a", 1), service("b", 9))) {
                    publish(keys, files(service("a", 1), service("c", 9)), "berta")
                }
            val wrong = assertIs<PublishResult.Invalid>(late).findings.map { it.found }
            val expected = listOf("address 10.0.0.1:9, which service 'b' has", "host 'h9', which service 'b' has")
            assertEquals(expected, wrong)
        }

    @Test
    fun `the difference names each changed value`() {
        val old = files(service("a", 1))
        val new = files(service("a", 1, capacity = 11).copy(budget = Budget(calls = 5)))
        assertEquals(
            listOf("~ service a: budget.calls: 1000 -> 5", "~ service a: upstreams[h1].capacity: 10 -> 11"),
            Difference.between(old, new).map { it.toString() },
        )
    }
}
