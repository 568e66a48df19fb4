package sycamore.daemon

import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.programs.HomeRecord
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import java.util.concurrent.ConcurrentHashMap

/** Finds who serves the programs of homes that have ended. What it learned once stays true, so it is kept. */
class Directory(
    private val keys: KeyValue,
) {
    private val successors = ConcurrentHashMap<HomeId, HomeId>()

    /** The last known successor of [home], or [home] itself. Asks nobody. */
    fun known(home: HomeId): HomeId {
        val seen = LinkedHashSet<HomeId>()
        var last = home
        while (seen.add(last)) last = successors[last] ?: return last
        return home
    }

    /** The home just before [last] in the known line of successors of [home], or null when [home] is [last]. */
    fun before(
        home: HomeId,
        last: HomeId,
    ): HomeId? = generateSequence(home) { successors[it] }.take(MAX_HOPS).firstOrNull { successors[it] == last }

    /** [home] has ended, and [successor] serves its programs. */
    fun learn(
        home: HomeId,
        successor: HomeId,
    ) {
        if (home != successor) successors[home] = successor
    }

    /**
     * The last successor of [home] as recorded in the key-value service, or null when that does not answer.
     *
     * Two homes that took over each other at the same time have both ended. Then the first of such a circle in the
     * order of their names is returned: whoever takes that one over has all of them.
     */
    suspend fun current(home: HomeId): HomeId? {
        val seen = LinkedHashSet<HomeId>()
        var last = home
        while (seen.add(last)) {
            val read = keys.get(HomeRecord.key(last)) as? ReadResult.Found ?: return null
            val record = read.value?.value?.let(HomeRecord::decode) ?: return last
            learn(last, record.successor)
            last = record.successor
        }
        return seen.dropWhile { it != last }.minBy { it.toString() }
    }

    /** The present home on [host]: null when the service does not answer or the host never had one. */
    suspend fun homeOn(host: HostName): HomeId? {
        val read = keys.get(HomeRecord.hostKey(host)) as? ReadResult.Found ?: return null
        return read.value?.value?.let { HomeId.parse(it.decodeToString()) }
    }

    private companion object {
        const val MAX_HOPS = 100
    }
}
