package sycamore.daemon

import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.programs.HomeRecord
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import java.util.concurrent.ConcurrentHashMap

/**
 * Resolves ended homes to the homes that serve their programs. A successor changes only to resolve a cycle, see
 * [fetchLastSuccessor], so it is cached without expiry.
 */
class Directory(
    private val keys: KeyValue,
) {
    private val successors = ConcurrentHashMap<HomeId, HomeId>()

    /** Returns the last successor of [home] in the cache, or [home] itself. Sends no request. */
    fun lastKnownSuccessor(home: HomeId): HomeId {
        val visited = LinkedHashSet<HomeId>()
        var last = home
        while (visited.add(last)) last = successors[last] ?: return last
        return home
    }

    /** Returns the home before [last] in the cached chain of successors of [home], or null if [home] is [last]. */
    fun predecessorOf(
        home: HomeId,
        last: HomeId,
    ): HomeId? = generateSequence(home) { successors[it] }.take(MAX_SUCCESSORS).firstOrNull { successors[it] == last }

    /** Records that [home] has ended and that [successor] serves its programs. */
    fun recordSuccessor(
        home: HomeId,
        successor: HomeId,
    ) {
        if (home != successor) successors[home] = successor
    }

    /**
     * Reads the last successor of [home] from the key-value service; null if the service does not respond.
     *
     * Two homes that took over each other at the same time have both ended, and their records form a cycle. In that
     * case the home of the cycle that sorts first by name is returned: whoever takes over that one gets the programs of
     * all of them.
     */
    suspend fun fetchLastSuccessor(home: HomeId): HomeId? {
        val visited = LinkedHashSet<HomeId>()
        var last = home
        while (visited.add(last)) {
            val read = keys.get(HomeRecord.key(last)) as? ReadResult.Found ?: return null
            val record = read.value?.value?.let(HomeRecord::decode) ?: return last
            recordSuccessor(last, record.successor)
            last = record.successor
        }
        return visited.dropWhile { it != last }.minBy { it.toString() }
    }

    /** Returns the current home on [host]; null if the service does not respond or the host never had a home. */
    suspend fun homeOn(host: HostName): HomeId? {
        val read = keys.get(HomeRecord.hostKey(host)) as? ReadResult.Found ?: return null
        return read.value?.value?.let { HomeId.parse(it.decodeToString()) }
    }

    private companion object {
        const val MAX_SUCCESSORS = 100
    }
}
