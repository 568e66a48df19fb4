package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import sycamore.decisions.turns.Distance
import sycamore.links.CheckRetainer
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.LinkException
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.services.Backoff
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.Watched
import sycamore.services.watch
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
 * The retainers that registered themselves in the key-value service, and whether they answer.
 *
 * Only those that are named, and a few that would be named next, are asked whether they serve, and seldom while the home has no
 * records to be kept.
 *
 * @param named the retainers that the home names now.
 * @param isActive whether the home has records that are not committed.
 */
internal class RetainerDirectory(
    private val keys: KeyValue,
    private val host: HostName,
    private val copies: RecordCopies,
    private val distance: (PlaceName) -> Distance,
    private val exchange: Exchange,
    private val time: TimeSource.WithComparableMarks,
    private val named: () -> List<Retainer>,
    private val isActive: () -> Boolean,
    private val changed: () -> Unit,
) {
    private val registered = ConcurrentHashMap<String, Retainer>()
    private val gone = ConcurrentHashMap.newKeySet<RetainerId>()
    private val answered = ConcurrentHashMap<RetainerId, ComparableTimeMark>()
    private val asked = ConcurrentHashMap<RetainerId, ComparableTimeMark>()

    /** Since when questions to a retainer have no answer. */
    private val unanswered = ConcurrentHashMap<RetainerId, ComparableTimeMark>()

    /** Completes once the registrations have been read and those registered were asked. */
    val isRead = CompletableDeferred<Unit>()

    /**
     * The retainers that shall keep records, after [named]: those that were named stay while they answer. Others follow,
     * the nearest first and each in a place of its own if there are enough.
     */
    fun choose(named: List<Retainer>): List<Retainer> {
        val usable = usable()
        val serving = usable.filter { isServing(it.id) }
        val kept = named.filter { old -> serving.any { it.id == old.id } }
        val chosen = (kept + ranked(serving - kept.toSet(), kept)).take(copies.named)
        // One that does not answer stays named while there is no other: it may come back with what it keeps.
        val silent = named.filter { old -> usable.any { it.id == old.id } && old !in chosen }
        return order(chosen + silent.take(copies.named - chosen.size))
    }

    private fun usable(): List<Retainer> = registered.values.filter { !it.isLeaving && it.id !in gone }

    /**
     * [retainers] in the order in which they would be named beside [kept]: the nearest first, but one of each place of the region
     * before a second one. Hosts of one place begin with different ones.
     */
    private fun ranked(
        retainers: List<Retainer>,
        kept: List<Retainer>,
    ): List<Retainer> {
        val (near, far) = retainers.partition { distance(it.place) < Distance.OTHER_REGION }
        return byPlaces(near, kept) + byPlaces(far, kept)
    }

    private fun byPlaces(
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

    /** Retainers whose answers matter now: those named, and the next ones that are not known to be silent. */
    private fun watched(): List<Retainer> {
        val usable = usable()
        val kept = usable.filter { retainer -> named().any { it.id == retainer.id } }
        val next = ranked(usable - kept.toSet(), kept).filterNot { isSilent(it.id) }
        return kept + next.take(copies.named + SPARE - kept.size)
    }

    /** Whether [id] was asked and did not answer; it is asked once more after a while. */
    private fun isSilent(id: RetainerId): Boolean {
        val last = asked[id] ?: return false
        return !isServing(id) && last.elapsedNow() in ASK_LIMIT..FORGIVEN
    }

    private fun order(retainers: List<Retainer>): List<Retainer> =
        retainers.sortedWith(compareBy({ distance(it.place) }, { it.host.value }))

    private fun isServing(id: RetainerId): Boolean =
        answered.containsKey(id) && unanswered[id]?.let { it.elapsedNow() >= SILENCE } != true

    /** [id] has answered. */
    fun answered(id: RetainerId) {
        answered[id] = time.markNow()
        unanswered -= id
    }

    /** [id] has not answered. */
    fun unanswered(id: RetainerId) {
        unanswered.putIfAbsent(id, time.markNow())
    }

    /** The data folder [id] does not exist any more, or its host leaves. */
    fun lost(id: RetainerId) {
        if (gone.add(id)) changed()
    }

    /** Follows the registrations until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { probe() }
            keys.watch(RetainerKeys.PREFIX, backoff = Backoff.prompt()).collect { watched ->
                when (watched) {
                    is Watched.Snapshot -> {
                        registered.keys.retainAll(watched.items.map { it.key }.toSet())
                        watched.items.forEach(::learn)
                        val asking = launch { askWatched() }
                        awaitFirst(asking)
                        isRead.complete(Unit)
                    }
                    is Watched.Changes -> {
                        watched.items.forEach(::learn)
                        askWatched()
                    }
                    is Watched.Unreachable -> Unit
                }
            }
        }
    }

    private suspend fun probe() {
        while (true) {
            delay(if (isActive()) PROBE_PERIOD else IDLE_PERIOD)
            askWatched()
        }
    }

    private suspend fun askWatched() {
        coroutineScope { watched().filter(::isDue).forEach { retainer -> launch { ask(retainer) } } }
        changed()
    }

    /** Waits until enough retainers have answered: all that would be named, or two of them a little later. */
    private suspend fun awaitFirst(asking: Job) {
        val began = time.markNow()
        while (asking.isActive) {
            val serving = usable().count { isServing(it.id) }
            val isEnough = serving >= copies.named
            if (isEnough || serving >= copies.least && began.elapsedNow() > FIRST_ANSWERS) return
            delay(FIRST_CHECK)
        }
    }

    private fun isDue(retainer: Retainer): Boolean {
        val last = listOfNotNull(asked[retainer.id], answered[retainer.id]).maxOrNull() ?: return true
        return last.elapsedNow() >= PROBE_PERIOD * LEAST_SHARE
    }

    private suspend fun ask(retainer: Retainer) {
        asked[retainer.id] = time.markNow()
        val reply =
            try {
                withTimeoutOrNull(ASK_LIMIT) { exchange(retainer.address, CheckRetainer(retainer.id)).firstOrNull() }
            } catch (e: LinkException) {
                log.debug { "retainer ${retainer.host} cannot be asked: ${e.message}" }
                null
            }
        when (reply) {
            is Done -> answered(retainer.id)
            is Declined -> lost(retainer.id)
            else -> unanswered(retainer.id)
        }
    }

    private fun learn(item: Item) {
        val value = item.value
        if (value == null) {
            registered.remove(item.key)
            return
        }
        try {
            registered[item.key] = RetainerKeys.decode(value)
        } catch (e: SerializationException) {
            log.warn(e) { "the registration ${item.key} cannot be read" }
        }
    }

    private companion object {
        /** Far above the time of an answer; a retainer that is silent for longer is replaced if there is another. */
        val SILENCE: Duration = 2500.milliseconds
        val PROBE_PERIOD: Duration = 1.seconds

        /** Retainers that are lost meanwhile are noticed by the first record that they do not keep. */
        val IDLE_PERIOD: Duration = 3.seconds

        /** Several times the way to the farthest region and back. */
        val FIRST_ANSWERS: Duration = 150.milliseconds
        val FIRST_CHECK: Duration = 10.milliseconds

        /** Of [PROBE_PERIOD]: one that answered lately, to a probe or to records, is not asked again. */
        const val LEAST_SHARE = 0.5

        /** Retainers that are asked beside those named, so that one is known to serve when it is needed. */
        const val SPARE = 2

        /** A host is back from a restart, or replaced, within about this time. */
        val FORGIVEN: Duration = 5.seconds
        val ASK_LIMIT: Duration = 500.milliseconds
    }
}
