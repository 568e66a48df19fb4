package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.daemon.InvalidEntries
import sycamore.daemon.log.event
import sycamore.decisions.upstreams.MissingRegistrations
import sycamore.forwarding.LeavingUpstreams
import sycamore.model.ServiceName
import sycamore.platform.StoreKeys
import sycamore.platform.UpstreamEntries
import sycamore.routing.ListedUpstream
import sycamore.routing.UpstreamId
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.WatchEvent
import sycamore.services.WatchTimings
import sycamore.services.follow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Follows the registrations of upstreams in the key-value service. */
class UpstreamDirectory(
    private val keyValue: KeyValue,
    private val invalid: InvalidEntries,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    /** The registered upstreams, indexed for lookups by calls. */
    private class Index(
        listed: Collection<ListedUpstream>,
    ) {
        val all: List<ListedUpstream> =
            listed.groupBy { it.address }.values.map { same -> same.maxBy { it.bornMillis ?: 0 } }
        val available: Map<ServiceName, List<ListedUpstream>> = all.filter { !it.isLeaving }.groupBy { it.service }
        val byIp: Map<String, List<ListedUpstream>> = all.groupBy { it.address.ip }
    }

    private val leaving = LeavingUpstreams()
    private var listed: ImmutableMap<UpstreamId, ListedUpstream> = persistentMapOf()

    @Volatile
    private var index = Index(emptyList())

    private var unreachableSince: TimeMark? = null

    private val firstRead = CompletableDeferred<Unit>()

    /** Whether the list of upstreams was read at least once. */
    val isRead: Boolean get() = firstRead.isCompleted

    /** Waits until the list of upstreams was read. */
    suspend fun awaitRead() = firstRead.await()

    /** All upstreams, one for each address. If two registrations name the same address, the older one is outdated. */
    val all: List<ListedUpstream> get() = index.all

    /** The upstreams of [service] that accept calls. */
    fun available(service: ServiceName): List<ListedUpstream> = index.available[service].orEmpty()

    /** All upstreams on the host at [ip]. */
    fun onHost(ip: String): List<ListedUpstream> = index.byIp[ip].orEmpty()

    /** Marks [upstream] as leaving, as it announced in a response. */
    fun markLeaving(upstream: ListedUpstream) {
        if (!leaving.add(upstream)) return
        log.event("upstream-leaves", "upstream" to upstream.id, "service" to upstream.service)
        synchronized(this) { publish(listed) }
    }

    private fun publish(upstreams: Map<UpstreamId, ListedUpstream>) {
        listed = upstreams.toImmutableMap()
        index = Index(upstreams.values.map { if (it in leaving) it.copy(isLeaving = true) else it })
    }

    /** Watches the registrations until cancelled. Delayed removals run in [scope]. */
    suspend fun run(scope: CoroutineScope) {
        keyValue.follow(StoreKeys.UPSTREAMS, ::logFailure, WatchTimings(pause = WATCH_PAUSE)) { event ->
            when (event) {
                is WatchEvent.Snapshot -> replace(scope, event.items.mapNotNull(::decode))
                is WatchEvent.Changes -> applyChanges(scope, event.items)
                is WatchEvent.Unreachable -> recordUnreachable(event.reason)
            }
        }
    }

    private fun decode(item: Item): ListedUpstream? = invalid.decode(item, UpstreamEntries::decode)

    private fun logFailure(cause: Exception) =
        log.error(cause) { "following the registrations of upstreams failed; all of them are read again" }

    private fun recordUnreachable(reason: String) {
        if (unreachableSince != null) return
        unreachableSince = time.markNow()
        log.info { "cannot watch the registrations of upstreams at present: $reason" }
    }

    /** Returns for how long the service was unreachable until now, and forgets it. */
    private fun endOutage(): Duration {
        val outage = unreachableSince?.elapsedNow() ?: Duration.ZERO
        unreachableSince = null
        return outage
    }

    /** Replaces the list by a complete one. */
    @Synchronized
    private fun replace(
        scope: CoroutineScope,
        upstreams: List<ListedUpstream>,
    ) {
        val present = upstreams.associateBy { it.id }
        val missing = listed - present.keys
        publish(present + keepLapsed(scope, missing))
        firstRead.complete(Unit)
        log.info { "read ${present.size} registered upstreams, ${missing.size} previous ones are missing" }
    }

    @Synchronized
    private fun applyChanges(
        scope: CoroutineScope,
        items: List<Item>,
    ) {
        val changed = items.associateBy { UpstreamId(it.key.removePrefix(StoreKeys.UPSTREAMS)) }
        val present = changed.mapNotNull { (id, item) -> decode(item)?.let { id to it } }.toMap()
        val missing = listed.filterKeys { it in changed && it !in present }
        // A registration that cannot be decoded was overwritten, so it has not lapsed.
        val kept = keepLapsed(scope, missing.filterKeys { changed.getValue(it).value == null })
        present.values.forEach(::logChange)
        (missing - kept.keys).values.forEach {
            log.info { "upstream ${it.id} of ${it.service} at ${it.address} was removed" }
        }
        publish(listed - changed.keys + present + kept)
    }

    private fun logChange(upstream: ListedUpstream) {
        val known = listed[upstream.id]
        if (known != null && known.isLeaving == upstream.isLeaving && known.bornMillis == upstream.bornMillis) return
        val state = if (upstream.isLeaving) "is leaving" else "accepts calls"
        log.info { "upstream ${upstream.id} of ${upstream.service} at ${upstream.address} in ${upstream.place} $state" }
    }

    /**
     * Returns those of the upstreams that are [missing] from the list which may be running without a registration. They
     * are kept for [REREGISTRATION_TIME], in which running upstreams register again.
     */
    private fun keepLapsed(
        scope: CoroutineScope,
        missing: Map<UpstreamId, ListedUpstream>,
    ): Map<UpstreamId, ListedUpstream> {
        val outage = endOutage()
        val unannounced = missing.filterValues { !it.isLeaving && it !in leaving }
        if (!MissingRegistrations.mayBeRunning(unannounced.size, listed.size, outage)) return emptyMap()
        log.event("registrations-lapsed", "upstreams" to unannounced.size, "of" to listed.size, "outage" to outage)
        scope.launch {
            delay(REREGISTRATION_TIME)
            removeLapsed(unannounced)
        }
        return unannounced
    }

    /** Removes those of [lapsed] that have not registered again. */
    @Synchronized
    private fun removeLapsed(lapsed: Map<UpstreamId, ListedUpstream>) {
        val ended = lapsed.filter { (id, upstream) -> listed[id] === upstream }
        if (ended.isEmpty()) return
        publish(listed - ended.keys)
        log.info { "removed the upstreams ${ended.keys}, which did not register again after an outage of the store" }
    }

    private companion object {
        /**
         * The pause between two reads of the watch, which combines the changes of a series of upstreams. It is less
         * than half of the 2.5 s after which an upstream that is leaving must not get any more calls.
         */
        val WATCH_PAUSE = 1000.milliseconds

        /** Running upstreams register again within about two seconds after an outage of the store. */
        val REREGISTRATION_TIME = 2000.milliseconds
    }
}
