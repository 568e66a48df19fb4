package sycamore.forwarding

import sycamore.daemon.Threads
import sycamore.platform.PlatformBounds
import sycamore.platform.StoreKeyValue
import sycamore.platform.StoreSettings
import sycamore.services.KeyValueClient
import sycamore.services.keyValueClient
import kotlin.time.Duration.Companion.seconds

/** The store responds within milliseconds. A call that takes this long has lost its connection or its response. */
private val CALL_TIMEOUT = 2.seconds

/**
 * Creates a client of the platform's store.
 *
 * Its connections may fall silent while new ones work. A watch on such a connection fails in time for its keys to be read again
 * within [PlatformBounds.stableTime].
 */
internal fun storeClient(
    settings: StoreSettings,
    bounds: PlatformBounds,
): KeyValueClient =
    keyValueClient(
        StoreKeyValue(
            settings.address,
            StoreHttp.client(),
            Threads.blocking,
            maxValueBytes = settings.maxValueBytes,
        ),
    ) {
        // Far above the calls of a healthy daemon. The store's call rate is shared by all processes, and a faulty daemon must not
        // use it up.
        callsPerSecond = 20.0
        burst = 60
        timeout = CALL_TIMEOUT
        maxWatchWait = bounds.stableTime / 2
        watchTimeout = minOf(CALL_TIMEOUT, bounds.stableTime / 4)
    }
