package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.SerializationException
import sycamore.model.PlaceName
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.Revision
import sycamore.services.Watched
import sycamore.services.watch
import sycamore.turns.Retainer
import sycamore.turns.RetainerId
import sycamore.turns.RetainerKeys
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** The retainers that registered themselves in the key-value service. */
internal class RetainerDirectory(
    private val keys: KeyValue,
    private val place: PlaceName,
    private val changed: () -> Unit,
) {
    private class Registered(
        val retainer: Retainer,
        val version: Revision,
    )

    private val registered = ConcurrentHashMap<String, Registered>()
    private val gone = ConcurrentHashMap.newKeySet<RetainerId>()

    /** The retainers that shall keep records from now on: the nearest ones, each in a place of its own if there are enough. */
    fun choose(): List<Retainer> {
        val usable = registered.values.filter { !it.retainer.isLeaving && it.retainer.id !in gone }
        val newest = usable.groupBy { it.retainer.host }.values.map { same -> same.maxBy { it.version }.retainer }
        val ordered = newest.sortedWith(compareBy({ it.place != place }, { it.host.value }))
        val spread = ordered.distinctBy { it.place }
        return (spread + (ordered - spread.toSet())).take(RecordRetention.NAMED)
    }

    /** The data folder [id] does not exist any more. */
    fun lost(id: RetainerId) {
        if (gone.add(id)) changed()
    }

    /** Completes once the registrations have been read. */
    val isRead = CompletableDeferred<Unit>()

    /** Follows the registrations until cancelled. */
    suspend fun run() {
        keys.watch(RetainerKeys.PREFIX).collect { watched ->
            when (watched) {
                is Watched.Snapshot -> {
                    registered.keys.retainAll(watched.items.map { it.key }.toSet())
                    watched.items.forEach(::learn)
                    isRead.complete(Unit)
                    changed()
                }
                is Watched.Changes -> {
                    watched.items.forEach(::learn)
                    changed()
                }
                is Watched.Unreachable -> Unit
            }
        }
    }

    private fun learn(item: Item) {
        val value = item.value
        if (value == null) {
            registered.remove(item.key)
            return
        }
        try {
            registered[item.key] = Registered(RetainerKeys.decode(value), item.version)
        } catch (e: SerializationException) {
            log.warn(e) { "the registration ${item.key} cannot be read" }
        }
    }
}
