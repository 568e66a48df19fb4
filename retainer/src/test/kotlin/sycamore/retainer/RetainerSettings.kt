package sycamore.retainer

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
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

/** The settings of a retainer with its data in [folder]. */
internal fun retainerSettings(folder: Path) =
    HostSettings(
        name = HostName("s1"),
        place = Place(PlaceName("p1"), RegionName("p1")),
        places = persistentMapOf(),
        ip = "10.1.0.1",
        firstPort = 7000,
        lastPort = 7000,
        callers = null,
        readinessAddress = null,
        upstream = null,
        dataDirectory = folder.toString(),
        maxLostDisks = 1,
        bounds = PlatformBounds(2.5.seconds, 8.seconds, 2.5.seconds, 4.seconds, 1.seconds),
        store = StoreSettings(Address("10.9.0.1", 1), 400.0, 2000.0, 1 shl 20),
        memoryMib = 256,
        contracts = persistentListOf(),
    )
