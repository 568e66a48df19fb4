package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.daemon.log.event
import sycamore.links.Exchange
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.PlaceName
import sycamore.services.KeyValue
import sycamore.services.Read
import sycamore.services.Revision
import sycamore.services.Write
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import sycamore.turns.LogRecord
import sycamore.turns.TurnBroken
import sycamore.turns.TurnEnd
import sycamore.turns.TurnFinished
import sycamore.turns.TurnRecords
import sycamore.turns.TurnStarted
import sycamore.turns.TurnTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/** One home: the programs that live on this host, their log, and the retention of its records. */
internal class TurnHome(
    val id: HomeId,
    val address: Address,
    place: PlaceName,
    private val keys: KeyValue,
    private val retainers: RetainerDirectory,
    private val spent: SpentPrograms,
    exchange: Exchange,
    time: TimeSource.WithComparableMarks,
) {
    val table = TurnTable(time)
    val journal = HomeJournal(id, keys, time, retainers::choose)
    val retention = RecordRetention(journal, place, exchange, retainers)

    /** Whether it is registered, so that a successor would find its log. */
    @Volatile
    var isReady = false
        private set

    /** Registers the home and does its own work, until it has ended or the caller is cancelled. */
    suspend fun run() {
        register()
        spent.read().forEach(table::markSpent)
        retainers.isRead.await()
        coroutineScope {
            val work = listOf(launch { journal.run() }, launch { retention.run() }, launch { dropIdle() })
            journal.opened.await()
            isReady = true
            logger.info { "home $id serves at $address" }
            journal.ended.await()
            isReady = false
            work.forEach { it.cancel() }
        }
    }

    private suspend fun register() {
        val key = HomeKeys.key(id)
        val value = HomeKeys.encode(HomeEntry(id, address))
        while (true) {
            val write = keys.put(key, value, Revision.ABSENT)
            if (write is Write.Taken || write is Write.Conflict) return
            if (write is Write.NotKnown && (keys.get(key) as? Read.Found)?.value != null) return
            delay(RETRY)
        }
    }

    /** Takes in the [log] of a home that has ended. Its turns under way count as broken after all their tokens. */
    fun adopt(log: List<LogRecord>) {
        val records = log.map { TurnRecords.decode(it.bytes) }
        val ended = records.filterIsInstance<TurnEnd>().mapTo(HashSet()) { it.turn }
        val broken =
            records
                .filterIsInstance<TurnStarted>()
                .filter { it.turn !in ended }
                .map { TurnBroken(it.program, it.turn, it.reserved) }
        (records + broken).forEach(table::apply)
        log.forEach { journal.adopt(it.bytes) }
        broken.forEach(journal::append)
        val whole = records.count { it is TurnFinished }
        logger.event(
            "programs-adopted",
            "home" to id,
            "records" to records.size,
            "whole" to whole,
            "broken" to broken.size,
        )
    }

    private suspend fun dropIdle() {
        while (true) {
            delay(DROP_PERIOD)
            val dropped = table.dropIdle(KEEP)
            if (dropped.isNotEmpty()) logger.info { "home $id dropped ${dropped.size} idle programs" }
        }
    }

    private companion object {
        val RETRY = 200.milliseconds
        val DROP_PERIOD = 10.seconds

        /** Longer than any route keeps a turn, since a program may come back after a final fault. */
        val KEEP: Duration = 5.minutes
    }
}
