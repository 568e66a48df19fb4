package sycamore.gateway

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import sycamore.model.Address
import sycamore.model.HostName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.platform.HostSettings
import sycamore.platform.PlatformBounds
import sycamore.platform.StoreSettings
import kotlin.time.Duration.Companion.seconds

/** The settings of the gateways in tests. */
internal object GatewayFixture {
    val settings =
        HostSettings(
            name = HostName("g1"),
            place = Place(PlaceName("here"), RegionName("here")),
            places = persistentMapOf(),
            ip = "127.0.0.1",
            firstPort = 1,
            lastPort = 1,
            callers = null,
            readinessAddress = null,
            upstream = null,
            dataDirectory = null,
            maxLostDisks = 1,
            bounds = PlatformBounds(2.5.seconds, 8.seconds, 2.5.seconds, 4.seconds, 1.seconds),
            store = StoreSettings(Address("127.0.0.1", 1), 400.0, 2000.0, 1 shl 20),
            memoryMib = 256,
            contracts = persistentListOf(),
        )
}
