package sycamore.forwarding

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
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
 * Its connections may fall silent while new ones work. [scope] runs a [SilenceDetector], which finds them in time for all watched keys to
 * be read again within [PlatformBounds.stableTime].
 */
internal fun storeClient(
    settings: StoreSettings,
    bounds: PlatformBounds,
    scope: CoroutineScope,
): KeyValueClient {
    val http = StoreHttp()
    val store = StoreKeyValue(settings.address, http, Threads.blocking, maxValueBytes = settings.maxValueBytes)
    val wait = bounds.stableTime / 2
    val detector = SilenceDetector(wait, answerTimeout = wait / 2, store, closeConnections = http::closeConnections)
    scope.launch { detector.run() }
    return keyValueClient(store) {
        // Far above the calls of a healthy daemon. The store's call rate is shared by all processes, and a faulty daemon must not
        // use it up.
        callsPerSecond = 20.0
        burst = 60
        timeout = CALL_TIMEOUT
    }
}
