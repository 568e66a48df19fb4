package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.InvalidEntries
import sycamore.daemon.log.event
import sycamore.decisions.turns.Distance
import sycamore.links.CheckRetainer
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.LinkException
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.Recheck
import sycamore.services.WatchAge
import sycamore.services.WatchEvent
import sycamore.services.follow
import sycamore.turns.Retainer
import sycamore.turns.RetainerId
import sycamore.turns.RetainerKeys
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * The retainers that are registered in the key-value service, and whether they respond.
 *
 * Only the retainers that the home's log names, and a few that would be named next, are probed, and at longer intervals
 * while the home has no records to retain.
 *
 * @param named the retainers that the home's log names now.
 * @param isActive whether the home has records that are not committed.
 * @param onChange is called when the result of [choose] may have changed.
 */
internal class RetainerDirectory(
    private val keys: KeyValue,
    private val invalid: InvalidEntries,
    private val host: HostName,
    private val copies: RecordCopies,
    private val distance: (PlaceName) -> Distance,
    private val exchange: Exchange,
    private val time: TimeSource.WithComparableMarks,
    private val named: () -> List<Retainer>,
    private val isActive: () -> Boolean,
    private val onChange: () -> Unit,
) {
    private val registered = ConcurrentHashMap<String, Retainer>()
    private val watchAge = WatchAge(time)
    private val recheck = Recheck()

    /** Retainers whose data folder no longer exists, or whose host is leaving. */
    private val retired = ConcurrentHashMap.newKeySet<RetainerId>()

    /** When each retainer last responded. */
    private val lastResponse = ConcurrentHashMap<RetainerId, ComparableTimeMark>()

    /** When each retainer was last probed. */
    private val lastProbed = ConcurrentHashMap<RetainerId, ComparableTimeMark>()

    /** Since when each unresponsive retainer has not responded. */
    private val unresponsiveSince = ConcurrentHashMap<RetainerId, ComparableTimeMark>()

    /** Completes once the registrations have been read and the registered retainers have been probed. */
    val initialized = CompletableDeferred<Unit>()

    /**
     * Chooses the retainers that will keep records from now on. Those of [named] that still respond are kept. Others
     * are added by distance, the nearest first, and each in a different place if there are enough.
     */
    fun choose(named: List<Retainer>): List<Retainer> {
        val usable = usable()
        val serving = usable.filter { isServing(it.id) }
        val kept = named.filter { old -> serving.any { it.id == old.id } }
        val chosen = (kept + ranked(serving - kept.toSet(), kept)).take(copies.named)
        // An unresponsive retainer remains named while there is no replacement: it may return with the records that it
        // keeps.
        val unresponsive = named.filter { old -> usable.any { it.id == old.id } && old !in chosen }
        return sortedByDistance(chosen + unresponsive.take(copies.named - chosen.size))
    }

    private fun usable(): List<Retainer> = registered.values.filter { !it.isLeaving && it.id !in retired }

    /**
     * [retainers] in the order in which they would be named in addition to [kept]: the nearest first, but one of each
     * place of the region before a second one of any place. Hosts of the same place prefer different retainers
     * among equals.
     */
    private fun ranked(
        retainers: List<Retainer>,
        kept: List<Retainer>,
    ): List<Retainer> {
        val (near, far) = retainers.partition { distance(it.place) < Distance.OTHER_REGION }
        return spreadOverPlaces(near, kept) + spreadOverPlaces(far, kept)
    }

    private fun spreadOverPlaces(
        retainers: List<Retainer>,
        kept: List<Retainer>,
    ): List<Retainer> {
        val sorted =
            retainers.sortedWith(
                compareBy(
                    { other -> kept.any { it.place == other.place } },
                    { distance(it.place) },
                    { (host.value + it.host.value).hashCode() },
                ),
            )
        val first = sorted.distinctBy { it.place }
        return first + (sorted - first.toSet())
    }

    /** Retainers to probe: those that are named, and the next candidates that are not known to be unresponsive. */
    private fun probeCandidates(): List<Retainer> {
        val usable = usable()
        val kept = usable.filter { retainer -> named().any { it.id == retainer.id } }
        val next = ranked(usable - kept.toSet(), kept).filterNot { isUnresponsive(it.id) }
        return kept + next.take(copies.named + SPARE_RETAINERS - kept.size)
    }

    /**
     * Whether [id] did not respond to its last probe. It becomes a candidate again after [UNRESPONSIVE_PROBE_DELAY].
     */
    private fun isUnresponsive(id: RetainerId): Boolean {
        val last = lastProbed[id] ?: return false
        return !isServing(id) && last.elapsedNow() in PROBE_TIMEOUT..UNRESPONSIVE_PROBE_DELAY
    }

    private fun sortedByDistance(retainers: List<Retainer>): List<Retainer> =
        retainers.sortedWith(compareBy({ distance(it.place) }, { it.host.value }))

    private fun isServing(id: RetainerId): Boolean =
        lastResponse.containsKey(id) && unresponsiveSince[id]?.let { it.elapsedNow() >= UNRESPONSIVE_AFTER } != true

    /** Records that [id] has responded. */
    fun recordResponse(id: RetainerId) {
        lastResponse[id] = time.markNow()
        unresponsiveSince -= id
    }

    /** Records that [id] has not responded. */
    fun recordNoResponse(id: RetainerId) {
        unresponsiveSince.putIfAbsent(id, time.markNow())
    }

    /** Excludes [id] from now on, because its data folder no longer exists or its host is leaving. */
    fun markRetired(id: RetainerId) {
        if (retired.add(id)) onChange()
    }

    /** Follows the registrations in the key-value service and probes retainers, until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { probePeriodically() }
            keys.follow(RetainerKeys.PREFIX, ::logFailure, time = time, age = watchAge, recheck = recheck) { watched ->
                when (watched) {
                    is WatchEvent.Snapshot -> {
                        registered.keys.retainAll(watched.items.map { it.key }.toSet())
                        watched.items.forEach(::applyRegistration)
                        val probing = launch { probeDue() }
                        awaitFirstResponses(probing)
                        initialized.complete(Unit)
                    }
                    is WatchEvent.Changes -> {
                        watched.items.forEach(::applyRegistration)
                        probeDue()
                    }
                    is WatchEvent.Unreachable -> Unit
                }
            }
        }
    }

    private suspend fun probePeriodically() {
        while (true) {
            delay(if (isActive()) PROBE_INTERVAL else IDLE_PROBE_INTERVAL)
            probeDue()
        }
    }

    private suspend fun probeDue() {
        coroutineScope { probeCandidates().filter(::isProbeDue).forEach { retainer -> launch { probe(retainer) } } }
        onChange()
        recheckIfFew()
    }

    /** Reads the registrations again if too few retainers respond: others may have registered while the watch was silent. */
    private fun recheckIfFew() {
        val answered = watchAge.elapsed ?: return
        val responding = usable().count { isServing(it.id) }
        if (responding >= copies.named || answered < RECHECK_INTERVAL) return
        log.event("retainers-rechecked", "responding" to responding, "answered_ms_ago" to answered.inWholeMilliseconds)
        recheck.request()
    }

    /**
     * Waits until enough retainers have responded: as many as would be named or, after [ALL_RESPONSES_TIMEOUT], as many
     * as have to keep a record (two, if one disk may be lost).
     */
    private suspend fun awaitFirstResponses(probing: Job) {
        val began = time.markNow()
        while (probing.isActive) {
            val serving = usable().count { isServing(it.id) }
            val isEnough = serving >= copies.named
            if (isEnough || serving >= copies.required && began.elapsedNow() > ALL_RESPONSES_TIMEOUT) return
            delay(RESPONSE_CHECK_INTERVAL)
        }
    }

    private fun isProbeDue(retainer: Retainer): Boolean {
        val last = listOfNotNull(lastProbed[retainer.id], lastResponse[retainer.id]).maxOrNull() ?: return true
        return last.elapsedNow() >= PROBE_INTERVAL * MIN_PROBE_INTERVAL_FRACTION
    }

    private suspend fun probe(retainer: Retainer) {
        lastProbed[retainer.id] = time.markNow()
        val reply =
            try {
                val message = CheckRetainer(retainer.id)
                withTimeoutOrNull(PROBE_TIMEOUT) { exchange(retainer.address, message).firstOrNull() }
            } catch (e: LinkException) {
                log.debug { "probe of retainer ${retainer.host} failed: ${e.message}" }
                null
            }
        when (reply) {
            is Done -> recordResponse(retainer.id)
            is Declined -> markRetired(retainer.id)
            else -> recordNoResponse(retainer.id)
        }
    }

    /** Applies a registration. One that is not valid any more leaves the retainer as it was registered before. */
    private fun applyRegistration(item: Item) {
        val retainer = invalid.decode(item) { RetainerKeys.decode(it.key, it.value!!) }
        if (retainer != null) {
            registered[item.key] = retainer
        } else if (item.value == null) {
            registered.remove(item.key)
        }
    }

    private fun logFailure(cause: Exception) =
        log.error(cause) { "following the registrations of retainers failed; all of them are read again" }

    private companion object {
        /**
         * Far above the usual response time. A retainer that does not respond for longer is replaced if another one is
         * available.
         */
        val UNRESPONSIVE_AFTER: Duration = 2500.milliseconds
        val PROBE_INTERVAL: Duration = 1.seconds

        /**
         * Probe interval while no records wait. A retainer that is lost meanwhile is detected by the first record that
         * it does not keep.
         */
        val IDLE_PROBE_INTERVAL: Duration = 3.seconds

        /** Several round trips to the farthest region. */
        val ALL_RESPONSES_TIMEOUT: Duration = 150.milliseconds
        val RESPONSE_CHECK_INTERVAL: Duration = 10.milliseconds

        /**
         * Fraction of [PROBE_INTERVAL] in which a retainer that was probed, or responded to a probe or to records, is
         * not probed again.
         */
        const val MIN_PROBE_INTERVAL_FRACTION = 0.5

        /**
         * Retainers that are probed in addition to those that are named, so that a replacement is known to respond when
         * it is needed.
         */
        const val SPARE_RETAINERS = 2

        /** A retainer that is missing is replaced by a new one within some seconds. */
        val RECHECK_INTERVAL: Duration = 5.seconds

        /** A host is back from a restart, or replaced, within about this time; its retainer is then probed again. */
        val UNRESPONSIVE_PROBE_DELAY: Duration = 5.seconds
        val PROBE_TIMEOUT: Duration = 500.milliseconds
    }
}
