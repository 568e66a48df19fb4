package sycamore.daemon.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.SerializationException
import sycamore.links.HomeEndpoint
import sycamore.model.HomeId
import sycamore.services.Backoff
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WatchEvent
import sycamore.services.watch
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys

private val log = KotlinLogging.logger {}

/** Follows the registrations of homes in the key-value service. */
class HomeList(
    private val keys: KeyValue,
) {
    private var entries: PersistentMap<HomeId, HomeEntry> = persistentMapOf()
    private var revision = Revision.ABSENT
    private val current = MutableStateFlow(HomeView.EMPTY)

    /** The homes as far as this process knows. */
    val views: StateFlow<HomeView> = current.asStateFlow()

    /** The homes as far as this process knows now. */
    val view: HomeView get() = current.value

    /** Whether the list was read once. */
    @Volatile
    var isRead = false
        private set

    /** Homes that nobody has taken over. */
    val serving: List<HomeEndpoint> get() = view.serving

    /** [lost] was taken over by [successor]. */
    @Synchronized
    fun learn(
        lost: HomeId,
        successor: HomeEndpoint,
    ) {
        entries = entries.put(lost, HomeEntry(lost, successor.address, successor.home, successor.address))
        publish()
    }

    /** Reads the homes anew, for a decision that must not rest on an old list; null when they cannot be read now. */
    suspend fun readServing(): List<HomeEndpoint>? {
        val read = keys.list(HomeKeys.PREFIX) as? ReadResult.Found ?: return null
        return HomeView(read.revision, decodeAll(read.value)).serving
    }

    /** Follows the registrations until cancelled. */
    suspend fun run() {
        keys.watch(HomeKeys.PREFIX, backoff = Backoff.shortPauses()).collect { watched ->
            when (watched) {
                is WatchEvent.Snapshot -> {
                    replace(watched)
                    isRead = true
                }
                is WatchEvent.Changes -> change(watched)
                is WatchEvent.Unreachable -> log.info { "the homes cannot be followed now: ${watched.reason}" }
            }
        }
    }

    @Synchronized
    private fun replace(read: WatchEvent.Snapshot) {
        entries = decodeAll(read.items)
        revision = read.revision
        publish()
    }

    @Synchronized
    private fun change(changes: WatchEvent.Changes) {
        for (item in changes.items) {
            val entry = decode(item)
            if (entry != null) {
                entries = entries.put(entry.home, entry)
            } else {
                HomeId.parse(item.key.removePrefix(HomeKeys.PREFIX))?.let { entries = entries.remove(it) }
            }
        }
        revision = maxOf(revision, changes.revision)
        publish()
    }

    private fun publish() {
        current.value = HomeView(revision, entries)
    }

    private fun decodeAll(items: List<Item>): PersistentMap<HomeId, HomeEntry> =
        items.mapNotNull(::decode).associateBy { it.home }.toPersistentMap()

    private fun decode(item: Item): HomeEntry? =
        try {
            item.value?.let(HomeKeys::decode)
        } catch (e: SerializationException) {
            log.warn(e) { "the home ${item.key} cannot be read" }
            null
        }
}
