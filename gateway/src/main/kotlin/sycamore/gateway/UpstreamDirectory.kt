package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.daemon.log.event
import sycamore.forwarding.LeavingUpstreams
import sycamore.model.ServiceName
import sycamore.platform.StoreKeys
import sycamore.platform.UpstreamEntries
import sycamore.routing.ListedUpstream
import sycamore.routing.UpstreamId
import sycamore.services.Backoff
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.WatchEvent
import sycamore.services.WatchTimings
import sycamore.services.watch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Follows the registrations of upstreams in the key-value service. */
class UpstreamDirectory(
    private val keyValue: KeyValue,
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

    /** Whether the list of upstreams was read at least once. */
    @Volatile
    var isRead = false
        private set

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
        keyValue.watch(StoreKeys.UPSTREAMS, WatchTimings(pause = WATCH_PAUSE), Backoff.shortPauses()).collect { event ->
            when (event) {
                is WatchEvent.Snapshot -> replace(scope, event.items.mapNotNull(UpstreamEntries::decode))
                is WatchEvent.Changes -> event.items.forEach(::change)
                is WatchEvent.Unreachable -> recordUnreachable(event.reason)
            }
        }
    }

    private fun recordUnreachable(reason: String) {
        if (unreachableSince != null) return
        unreachableSince = time.markNow()
        log.info { "cannot watch the registrations of upstreams at present: $reason" }
    }

    /**
     * Replaces the list by a complete one. Registrations expire during an outage of the store, and running upstreams
     * renew them afterwards, so upstreams that are missing after an outage are kept for [REREGISTRATION_TIME].
     */
    @Synchronized
    private fun replace(
        scope: CoroutineScope,
        upstreams: List<ListedUpstream>,
    ) {
        val outage = unreachableSince?.elapsedNow() ?: Duration.ZERO
        unreachableSince = null
        isRead = true
        val present = upstreams.associateBy { it.id }
        val missing = listed - present.keys
        publish(if (outage > MAX_SHORT_OUTAGE) present + missing else present)
        log.info { "read ${present.size} registered upstreams, ${missing.size} previous ones are missing" }
        if (outage > MAX_SHORT_OUTAGE && missing.isNotEmpty()) {
            scope.launch {
                delay(REREGISTRATION_TIME)
                removeMissing(missing, seen = present.keys)
            }
        }
    }

    /** Removes those of [missing] that have not registered again. */
    @Synchronized
    private fun removeMissing(
        missing: Map<UpstreamId, ListedUpstream>,
        seen: Set<UpstreamId>,
    ) {
        val expired = missing.filter { (id, upstream) -> id !in seen && listed[id] === upstream }
        if (expired.isEmpty()) return
        publish(listed - expired.keys)
        log.info { "removed the upstreams ${expired.keys}, which did not register again after an outage of the store" }
    }

    @Synchronized
    private fun change(item: Item) {
        val id = UpstreamId(item.key.removePrefix(StoreKeys.UPSTREAMS))
        val upstream = if (item.value == null) null else UpstreamEntries.decode(item)
        val known = listed[id]
        if (upstream == null) {
            if (known != null) {
                publish(listed - id)
                log.info { "upstream $id of ${known.service} at ${known.address} was removed" }
            }
            return
        }
        publish(listed + (id to upstream))
        if (known == null || known.isLeaving != upstream.isLeaving || known.bornMillis != upstream.bornMillis) {
            val state = if (upstream.isLeaving) "is leaving" else "accepts calls"
            log.info { "upstream $id of ${upstream.service} at ${upstream.address} in ${upstream.place} $state" }
        }
    }

    private companion object {
        /**
         * The pause between two reads of the watch, which combines the changes of a series of upstreams. It is less
         * than half of the 2.5 s after which an upstream that is leaving must not get any more calls.
         */
        val WATCH_PAUSE = 1000.milliseconds

        /**
         * The time within which an interrupted watch is resumed. Registrations do not expire in an outage that is no
         * longer.
         */
        val MAX_SHORT_OUTAGE = 1000.milliseconds

        /** Running upstreams register again within about two seconds after an outage of the store. */
        val REREGISTRATION_TIME = 2000.milliseconds
    }
}
