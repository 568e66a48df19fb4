package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import sycamore.links.AskRetainer
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.LinkException
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

/** The retainers that registered themselves in the key-value service, and whether they answer. */
internal class RetainerDirectory(
    private val keys: KeyValue,
    private val place: PlaceName,
    private val exchange: Exchange,
    private val time: TimeSource.WithComparableMarks,
    private val changed: () -> Unit,
) {
    private val registered = ConcurrentHashMap<String, Retainer>()
    private val gone = ConcurrentHashMap.newKeySet<RetainerId>()
    private val answered = ConcurrentHashMap<RetainerId, ComparableTimeMark>()

    /** Completes once the registrations have been read and those registered were asked. */
    val isRead = CompletableDeferred<Unit>()

    /**
     * The retainers that shall keep records, after [named]: those that were named stay while they answer. Others follow,
     * the nearest first and each in a place of its own if there are enough.
     */
    fun choose(named: List<Retainer>): List<Retainer> {
        val usable = registered.values.filter { !it.isLeaving && it.id !in gone }
        val serving = usable.filter { isServing(it.id) }
        val kept = named.filter { old -> serving.any { it.id == old.id } }
        val others =
            (serving - kept.toSet()).sortedWith(
                compareBy(
                    { other -> kept.any { it.place == other.place } },
                    { it.place != place },
                    { it.host.value },
                ),
            )
        val chosen = (kept + spread(others)).take(RecordRetention.NAMED)
        // One that does not answer stays named while there is no other: it may come back with what it keeps.
        val silent = named.filter { old -> usable.any { it.id == old.id } && old !in chosen }
        return order(chosen + silent.take(RecordRetention.NAMED - chosen.size))
    }

    private fun spread(retainers: List<Retainer>): List<Retainer> {
        val first = retainers.distinctBy { it.place }
        return first + (retainers - first.toSet())
    }

    private fun order(retainers: List<Retainer>): List<Retainer> =
        retainers.sortedWith(compareBy({ it.place != place }, { it.host.value }))

    private fun isServing(id: RetainerId): Boolean = answered[id]?.let { it.elapsedNow() < SILENCE } == true

    /** [id] has answered. */
    fun answered(id: RetainerId) {
        answered[id] = time.markNow()
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
                        askAll()
                        isRead.complete(Unit)
                    }
                    is Watched.Changes -> {
                        watched.items.forEach(::learn)
                        askAll()
                    }
                    is Watched.Unreachable -> Unit
                }
            }
        }
    }

    private suspend fun probe() {
        while (true) {
            delay(PROBE_PERIOD)
            askAll()
        }
    }

    private suspend fun askAll() {
        coroutineScope {
            registered.values.filter { it.id !in gone }.forEach { retainer -> launch { ask(retainer) } }
        }
        changed()
    }

    private suspend fun ask(retainer: Retainer) {
        val reply =
            try {
                withTimeoutOrNull(ASK_LIMIT) { exchange(retainer.address, AskRetainer(retainer.id)).firstOrNull() }
            } catch (e: LinkException) {
                log.debug { "retainer ${retainer.host} cannot be asked: ${e.message}" }
                null
            }
        if (reply is Done) answered(retainer.id)
        if (reply is Declined) lost(retainer.id)
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
        val ASK_LIMIT: Duration = 500.milliseconds
    }
}
