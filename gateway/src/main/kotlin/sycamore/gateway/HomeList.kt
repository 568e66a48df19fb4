package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.SerializationException
import sycamore.links.HomeAt
import sycamore.model.HomeId
import sycamore.services.Backoff
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.Read
import sycamore.services.Watched
import sycamore.services.watch
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys

private val log = KotlinLogging.logger {}

/**
 * All homes that registered themselves, with their successors.
 *
 * A home serves only once it is registered, so the last list that was read names all homes with programs, also while the
 * key-value service is away.
 */
internal class HomeList(
    private val keys: KeyValue,
) {
    @Volatile
    private var entries: PersistentMap<HomeId, HomeEntry> = persistentMapOf()

    /** Whether the list was read once. */
    @Volatile
    var isRead = false
        private set

    /** Homes that nobody has taken over. */
    val serving: List<HomeAt> get() = servingOf(entries.values)

    /** The home that serves the programs of [home] now. */
    fun present(home: HomeAt): HomeAt {
        var next = home
        repeat(MAX_SUCCESSORS) {
            val entry = entries[next.home] ?: return next
            next = HomeAt(entry.successor ?: return next, entry.successorAddress ?: return next)
        }
        return next
    }

    /** [lost] was taken over by [successor]. */
    @Synchronized
    fun learn(
        lost: HomeId,
        successor: HomeAt,
    ) {
        entries = entries.put(lost, HomeEntry(lost, successor.address, successor.home, successor.address))
    }

    /** Reads the list anew, for a decision that must not rest on an old one; null when it cannot be read now. */
    suspend fun readServing(): List<HomeAt>? {
        val read = keys.list(HomeKeys.PREFIX) as? Read.Found ?: return null
        return servingOf(read.value.mapNotNull(::decode))
    }

    private fun servingOf(entries: Collection<HomeEntry>): List<HomeAt> =
        entries.filter { it.successor == null }.map { HomeAt(it.home, it.address) }

    /** Follows the registrations until cancelled. */
    suspend fun run() {
        keys.watch(HomeKeys.PREFIX, backoff = Backoff.prompt()).collect { watched ->
            when (watched) {
                is Watched.Snapshot -> {
                    replace(watched.items)
                    isRead = true
                }
                is Watched.Changes -> watched.items.forEach(::change)
                is Watched.Unreachable -> log.info { "the homes cannot be followed now: ${watched.reason}" }
            }
        }
    }

    @Synchronized
    private fun replace(items: List<Item>) {
        entries = persistentMapOf<HomeId, HomeEntry>().putAll(items.mapNotNull(::decode).associateBy { it.home })
    }

    @Synchronized
    private fun change(item: Item) {
        val entry = decode(item)
        if (entry != null) {
            entries = entries.put(entry.home, entry)
        } else {
            HomeId.parse(item.key.removePrefix(HomeKeys.PREFIX))?.let { entries = entries.remove(it) }
        }
    }

    private fun decode(item: Item): HomeEntry? =
        try {
            item.value?.let(HomeKeys::decode)
        } catch (e: SerializationException) {
            log.warn(e) { "the home ${item.key} cannot be read" }
            null
        }

    private companion object {
        const val MAX_SUCCESSORS = 16
    }
}
