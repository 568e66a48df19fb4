package sycamore.programs

import sycamore.model.HomeId
import sycamore.model.ProgramId
import java.util.concurrent.ConcurrentHashMap

/** The homes that were taken over and the programs that have ended, as known to a gate, which rejects their calls. */
class Fences {
    private val successors = ConcurrentHashMap<HomeId, HomeId>()
    private val ended = ConcurrentHashMap.newKeySet<ProgramId>()

    /** Whether the table of taken-over homes has been read. Until then, calls that are not idempotent have to wait. */
    @Volatile
    var isReady = false
        private set

    /** Adds the table of taken-over homes, each mapped to its successor, and sets [isReady]. */
    fun loadTakeovers(takenOver: Map<HomeId, HomeId>) {
        successors += takenOver
        isReady = true
    }

    /** Records that [home] was taken over by [successor]. */
    fun recordTakeover(
        home: HomeId,
        successor: HomeId,
    ) {
        successors[home] = successor
    }

    /** The home that took over [home], or null when no takeover of it is known. */
    fun successorOf(home: HomeId): HomeId? = successors[home]

    /** Records that [program] has ended, so that no more calls of it may run while its cache is evicted. */
    fun recordEnded(program: ProgramId) {
        ended += program
    }

    /** Whether [program] is known to have ended. */
    fun isEnded(program: ProgramId): Boolean = program in ended
}
