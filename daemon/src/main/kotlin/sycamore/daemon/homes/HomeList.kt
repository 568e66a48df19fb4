package sycamore.daemon.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import sycamore.daemon.InvalidEntries
import sycamore.daemon.log.event
import sycamore.links.HomeEndpoint
import sycamore.model.HomeId
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Recheck
import sycamore.services.Revision
import sycamore.services.WatchAge
import sycamore.services.WatchEvent
import sycamore.services.WatchTimings
import sycamore.services.follow
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * A local copy of the registrations of homes, kept up to date from the key-value service.
 *
 * @param times the timings of the watch, which bound [age].
 * @param reading reads a clock for [confirmedAt]; null if that is not needed.
 */
class HomeList(
    private val keys: KeyValue,
    private val invalid: InvalidEntries,
    private val times: WatchTimings = WatchTimings(),
    private val time: TimeSource = TimeSource.Monotonic,
    reading: (() -> Duration)? = null,
) {
    private val watchAge = WatchAge(time, reading)
    private val recheck = Recheck()
    private var entries: PersistentMap<HomeId, HomeEntry> = persistentMapOf()
    private var revision = Revision.ABSENT
    private val current = MutableStateFlow(HomeView.EMPTY)

    /** The registered homes as last read, updated on each change. */
    val views: StateFlow<HomeView> = current.asStateFlow()

    /** The current value of [views]. */
    val view: HomeView get() = current.value

    /** Whether the registrations have been read at least once. */
    @Volatile
    var isLoaded = false
        private set

    /** The time since the service is certain to have confirmed [view], see [WatchAge.sinceConfirmed]; null until it was read. */
    val age: Duration? get() = watchAge.sinceConfirmed

    /** When the call was sent that the key-value service answered last: [view] contains all changes made before. */
    val confirmedAt: Duration? get() = watchAge.confirmedAt

    /** The homes that have not been taken over. */
    val serving: List<HomeEndpoint> get() = view.serving

    /** Records that [lost] was taken over by [successor]. */
    @Synchronized
    fun recordTakeover(
        lost: HomeId,
        successor: HomeEndpoint,
    ) {
        entries = entries.put(lost, HomeEntry(lost, successor.address, successor.home, successor.address))
        publish()
    }

    /** Reads the serving homes for a decision that must not use a stale copy; null if the service does not respond. */
    suspend fun readServing(): List<HomeEndpoint>? {
        val read = keys.list(HomeKeys.PREFIX) as? ReadResult.Found ?: return null
        return HomeView(read.revision, decodeAll(read.value)).serving
    }

    /**
     * Reads the registrations again, unless the service has answered lately. To be called when a home turns out to differ from
     * [view]: the connection of the watch may be silent.
     */
    fun recheck() {
        val answered = watchAge.elapsed ?: return
        if (answered < MIN_RECHECK_AGE) return
        log.event("homes-rechecked", "answered_ms_ago" to answered.inWholeMilliseconds)
        recheck.request()
    }

    /** Watches the registrations until cancelled. */
    suspend fun run() {
        keys.follow(HomeKeys.PREFIX, ::logFailure, times, time, watchAge, recheck) { watched ->
            when (watched) {
                is WatchEvent.Snapshot -> {
                    replaceAll(watched)
                    isLoaded = true
                }
                is WatchEvent.Changes -> applyChanges(watched)
                is WatchEvent.Unreachable -> log.info { "cannot watch the registrations of homes: ${watched.reason}" }
            }
        }
    }

    @Synchronized
    private fun replaceAll(read: WatchEvent.Snapshot) {
        entries = decodeAll(read.items)
        revision = read.revision
        publish()
    }

    @Synchronized
    private fun applyChanges(changes: WatchEvent.Changes) {
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

    private fun decode(item: Item): HomeEntry? = invalid.decode(item) { HomeKeys.decode(it.key, it.value!!) }

    private fun logFailure(cause: Exception) =
        log.error(cause) { "following the registrations of homes failed; all of them are read again" }

    private companion object {
        /** The interval of the calls that would find a silent connection without a recheck. */
        val MIN_RECHECK_AGE = 2400.milliseconds
    }
}
