package sycamore.host

import kotlinx.coroutines.delay
import sycamore.decisions.ResidencyEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What an upstream's cache holds as of event [number]. */
data class CacheState(
    val number: Long,
    val programs: Map<String, Long>,
)

/**
 * Keeps a gate's view of its upstream's cache up to date from events that come late and with gaps. A gap is closed by a
 * whole listing.
 *
 * @property events reads the events above a number, or null when they cannot be read now.
 * @property listing reads the whole state, or null when it cannot be read now.
 */
class CacheFollower(
    private val queue: GateQueue,
    private val events: suspend (after: Long) -> List<ResidencyEvent>?,
    private val listing: suspend () -> CacheState?,
    private val period: Duration = PERIOD,
) {
    /** Follows the cache until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            poll()
            delay(period)
        }
    }

    private suspend fun poll() {
        val seen = queue.residency
        if (seen.needsListing) {
            listing()?.let { state -> queue.updateResidency { it.afterListing(state.number, state.programs) } }
        } else {
            events(seen.last)?.let { read -> queue.updateResidency { it.after(read) } }
        }
    }

    private companion object {
        val PERIOD = 500.milliseconds
    }
}
