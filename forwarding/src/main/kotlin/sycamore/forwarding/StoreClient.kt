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

// Shares of the stable time. The rest is left to read the watched keys again on a new connection.
private const val WATCH_WAIT_SHARE = 0.6
private const val READ_SHARE = 0.2

/** Less than the 30 s after which the HTTP client gives up a connection without bytes. */
private val UNHURRIED_WATCH_WAIT = 20.seconds

/**
 * Creates a client of the platform's store.
 *
 * Any of its connections may fall silent at any time while others work. Each watch that is not answered in time closes its connection, and
 * its keys are read again within [PlatformBounds.stableTime]. Watches of [KeyValueClient.unhurried] take longer.
 */
internal fun storeClient(
    settings: StoreSettings,
    bounds: PlatformBounds,
): KeyValueClient {
    val store =
        StoreKeyValue(
            settings.address,
            StoreHttp(),
            Threads.blocking,
            maxValueBytes = settings.maxValueBytes,
            pageTimeout = bounds.stableTime * READ_SHARE,
        )
    return keyValueClient(store) {
        // Far above the calls of a healthy daemon. The store's call rate is shared by all processes, and a faulty daemon must not
        // use it up.
        callsPerSecond = 20.0
        burst = 60
        timeout = CALL_TIMEOUT
        maxWatchWait = bounds.stableTime * WATCH_WAIT_SHARE
        maxUnhurriedWait = UNHURRIED_WATCH_WAIT
        maxWatchDelay = bounds.stableTime * READ_SHARE
    }
}
