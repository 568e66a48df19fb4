package sycamore.host

import kotlinx.coroutines.delay
import sycamore.decisions.ResidencyEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The tokens that an upstream's cache holds of each program, as of the cache event [number]. */
data class CacheState(
    val number: Long,
    val programs: Map<String, Long>,
)

/**
 * Keeps a gate's view of its upstream's cache up to date from cache events. Events arrive late, and some may be
 * missing; the view is then replaced by a full listing.
 *
 * @property events the function that reads the events above a number; it returns null if they cannot be read now.
 * @property listing the function that reads the full state of the cache; it returns null if that cannot be read now.
 * @property period the time between two polls.
 */
class CacheFollower(
    private val queue: GateQueue,
    private val events: suspend (after: Long) -> List<ResidencyEvent>?,
    private val listing: suspend () -> CacheState?,
    private val period: Duration = PERIOD,
) {
    /** Polls the cache until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            poll()
            delay(period)
        }
    }

    private suspend fun poll() {
        val known = queue.residency
        if (known.needsListing) {
            listing()?.let { state -> queue.updateResidency { it.afterListing(state.number, state.programs) } }
        } else {
            events(known.last)?.let { newer -> queue.updateResidency { it.after(newer) } }
        }
    }

    private companion object {
        val PERIOD = 500.milliseconds
    }
}
