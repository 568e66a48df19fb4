package sycamore.programs

import sycamore.model.HomeId
import sycamore.model.ProgramId
import java.util.concurrent.ConcurrentHashMap

/** Which homes were taken over and which programs were evicted, as far as a gate knows. */
class Fences {
    private val successors = ConcurrentHashMap<HomeId, HomeId>()
    private val evicted = ConcurrentHashMap.newKeySet<ProgramId>()

    /** Whether the table of taken-over homes was read once. Until then a call that may not be repeated has to wait. */
    @Volatile
    var isReady = false
        private set

    /** The table of taken-over homes was read: [ended] maps each to its successor. */
    fun load(ended: Map<HomeId, HomeId>) {
        successors += ended
        isReady = true
    }

    /** [home] was taken over by [successor]. */
    fun end(
        home: HomeId,
        successor: HomeId,
    ) {
        successors[home] = successor
    }

    /** The home that took over [home], or null when it is not known to have ended. */
    fun successorOf(home: HomeId): HomeId? = successors[home]

    /** [program] has ended, and its cache is to be evicted: nothing of it may run any more. */
    fun evict(program: ProgramId) {
        evicted += program
    }

    /** Whether [program] has ended. */
    fun isEvicted(program: ProgramId): Boolean = program in evicted
}
