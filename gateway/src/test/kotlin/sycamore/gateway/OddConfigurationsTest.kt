package sycamore.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.platform.StoreKeys
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against a gateway that ends, or applies no further configuration, because of a value that it cannot decode. */
class OddConfigurationsTest {
    @Test
    fun `an odd configuration does not stop later ones from being applied`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val routes = RoutesInForce(store)
            backgroundScope.launch { routes.run() }
            val odd =
                listOf(
                    """{"version":2,"routes":[{"host":"h","prefix":"/","service":"s","timeout_ms":NaN}]}""",
                    """{"version":3,"routes":[{"host":"h","prefix":"/","service":"s","retains_history":true,"retention_s":NaN}]}""",
                    "[".repeat(100_000),
                    "{\"version\":".repeat(100_000),
                )
            var version = Revision.ABSENT
            for (value in odd + """{"version":9,"routes":[]}""") {
                delay(2.seconds)
                store.put(StoreKeys.CONFIGURATION, value.encodeToByteArray(), version)
                version = (store.get(StoreKeys.CONFIGURATION) as ReadResult.Found).value!!.version
            }
            delay(2.seconds)
            assertEquals(
                9,
                routes.table.value
                    ?.generation
                    ?.value,
            )
        }
}
