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
import sycamore.services.WatchTimings
import sycamore.services.WatchEvent
import sycamore.services.watch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** The upstreams that registered themselves, as far as this process knows. */
class UpstreamDirectory(
    private val keys: KeyValue,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    /** The list as calls need it. */
    private class Index(
        listed: Collection<ListedUpstream>,
    ) {
        val all: List<ListedUpstream> =
            listed.groupBy { it.address }.values.map { same -> same.maxBy { it.bornMillis ?: 0 } }
        val open: Map<ServiceName, List<ListedUpstream>> = all.filter { !it.isLeaving }.groupBy { it.service }
        val byIp: Map<String, List<ListedUpstream>> = all.groupBy { it.address.ip }
    }

    private val leaving = LeavingUpstreams()
    private var listed: ImmutableMap<UpstreamId, ListedUpstream> = persistentMapOf()

    @Volatile
    private var index = Index(emptyList())

    private var unreachableSince: TimeMark? = null

    /** Whether the list was read once. */
    @Volatile
    var isRead = false
        private set

    /** All upstreams, one for each address: of two that name the same one, the older is gone. */
    val all: List<ListedUpstream> get() = index.all

    /** Upstreams of [service] that take calls. */
    fun of(service: ServiceName): List<ListedUpstream> = index.open[service].orEmpty()

    /** All upstreams on the host at [ip]. */
    fun at(ip: String): List<ListedUpstream> = index.byIp[ip].orEmpty()

    /** [upstream] said in an answer that it leaves. */
    fun leaves(upstream: ListedUpstream) {
        if (!leaving.add(upstream)) return
        log.event("upstream-leaves", "upstream" to upstream.id, "service" to upstream.service)
        synchronized(this) { publish(listed) }
    }

    private fun publish(upstreams: Map<UpstreamId, ListedUpstream>) {
        listed = upstreams.toImmutableMap()
        index = Index(upstreams.values.map { if (it in leaving) it.copy(isLeaving = true) else it })
    }

    /** Follows the registrations until cancelled. */
    suspend fun run(scope: CoroutineScope) {
        keys.watch(StoreKeys.UPSTREAMS, WatchTimings(pause = PAUSE), Backoff.shortPauses()).collect { watched ->
            when (watched) {
                is WatchEvent.Snapshot -> replace(scope, watched.items.mapNotNull(UpstreamEntries::decode))
                is WatchEvent.Changes -> watched.items.forEach(::change)
                is WatchEvent.Unreachable -> unreachable(watched.reason)
            }
        }
    }

    private fun unreachable(reason: String) {
        if (unreachableSince != null) return
        unreachableSince = time.markNow()
        log.info { "the upstreams cannot be followed now: $reason" }
    }

    /**
     * Takes over a whole list. Registrations lapse while the store is away, and live upstreams renew them after its
     * return, so those that are missing then are kept for a while.
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
        publish(if (outage > SHORT_OUTAGE) present + missing else present)
        log.info { "${present.size} upstreams are registered, ${missing.size} former ones are not" }
        if (outage > SHORT_OUTAGE && missing.isNotEmpty()) {
            scope.launch {
                delay(RETURN)
                drop(missing, seen = present.keys)
            }
        }
    }

    /** Drops those of [missing] that have not registered again. */
    @Synchronized
    private fun drop(
        missing: Map<UpstreamId, ListedUpstream>,
        seen: Set<UpstreamId>,
    ) {
        val gone = missing.filter { (id, upstream) -> id !in seen && listed[id] === upstream }
        if (gone.isEmpty()) return
        publish(listed - gone.keys)
        log.info { "upstreams ${gone.keys} did not register again and count as gone" }
    }

    @Synchronized
    private fun change(item: Item) {
        val id = UpstreamId(item.key.removePrefix(StoreKeys.UPSTREAMS))
        val upstream = if (item.value == null) null else UpstreamEntries.decode(item)
        val known = listed[id]
        if (upstream == null) {
            if (known != null) {
                publish(listed - id)
                log.info { "upstream $id of ${known.service} at ${known.address} is gone" }
            }
            return
        }
        publish(listed + (id to upstream))
        if (known == null || known.isLeaving != upstream.isLeaving || known.bornMillis != upstream.bornMillis) {
            val state = if (upstream.isLeaving) "leaves" else "takes calls"
            log.info { "upstream $id of ${upstream.service} at ${upstream.address} in ${upstream.place} $state" }
        }
    }

    private companion object {
        /** Upstreams come and go in series. Less than half of the 2.5 s after which one that leaves must be left alone. */
        val PAUSE = 1000.milliseconds

        /** A cut watch is followed again within this time; registrations do not lapse in it. */
        val SHORT_OUTAGE = 1000.milliseconds

        /** Live upstreams are registered again within about two seconds of the store's return. */
        val RETURN = 2000.milliseconds
    }
}
