package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.daemon.Background
import sycamore.daemon.homes.HomeList
import sycamore.daemon.log.event
import sycamore.decisions.turns.Distance
import sycamore.links.CountTokens
import sycamore.links.Exchange
import sycamore.links.HomeEndpoint
import sycamore.links.UnregisterPrograms
import sycamore.links.ask
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.PlaceName
import sycamore.routing.ProgramName
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
    copies: RecordCopies,
    distance: (PlaceName) -> Distance,
    private val keys: KeyValue,
    private val retainers: RetainerDirectory,
    spent: SpentPrograms,
    private val exchange: Exchange,
    homes: HomeList,
    isComplete: (TurnHome) -> Boolean,
    onSilent: (HomeEndpoint) -> Unit,
    time: TimeSource.WithComparableMarks,
) {
    val table = TurnTable(time)
    private val at = HomeEndpoint(id, address)
    val registrations = ProgramRegistrations(at, homes, table)
    val directory =
        ProgramDirectory(at, homes, exchange, time, { registrations.answer(it, isComplete(this)) }, onSilent)
    private val background = Background()
    val places =
        ProgramPlaces(
            at,
            table,
            registrations,
            directory,
            spent,
            exchange,
            time,
            { background.launch("registering a program", it) },
            onSilent,
        )
    val journal = HomeJournal(id, keys, time, retainers::choose)
    val retention = RecordRetention(journal, copies, distance, exchange, retainers)

    private val registered = CompletableDeferred<Unit>()

    /** Whether it is registered, so that a successor would find its log. */
    val isRegistered: Boolean get() = registered.isCompleted

    /** Whether it takes turns. */
    @Volatile
    var isReady = false
        private set

    /** Returns once it is registered. */
    suspend fun awaitRegistered() = registered.await()

    /** Registers the home and does its own work, until it has ended or the caller is cancelled. */
    suspend fun run() {
        register()
        registered.complete(Unit)
        retainers.isRead.await()
        coroutineScope {
            val work =
                listOf(
                    launch { journal.run() },
                    launch { retention.run() },
                    launch { directory.run() },
                    launch { background.run() },
                    launch { dropIdle() },
                )
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
        registrations.adopt(records)
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

    /** Counts tokens that another home handed out; false if that could not be kept in time. */
    suspend fun count(tokens: CountTokens): Boolean {
        val start = TurnStarted(tokens.program, tokens.turn, null, ByteArray(0), tokens.tokens, isRegistered = true)
        val end = TurnBroken(tokens.program, tokens.turn, tokens.tokens)
        listOf(start, end).forEach(table::apply)
        journal.append(start)
        return retention.awaitSafe(journal.append(end), COUNT_LIMIT)
    }

    private suspend fun dropIdle() {
        while (true) {
            delay(DROP_PERIOD)
            val dropped = table.dropIdle(KEEP)
            if (dropped.isEmpty()) continue
            logger.info { "home $id dropped ${dropped.size} idle programs" }
            registrations.forget(dropped)
            places.forget(dropped)
            dropped.groupBy(registrations::ownerOf).forEach { (owner, programs) -> forget(owner, programs) }
        }
    }

    /** A directory that keeps a dropped program, since it did not hear of it, only sends its next turn here. */
    private suspend fun forget(
        owner: HomeEndpoint?,
        programs: List<ProgramName>,
    ) {
        val message = UnregisterPrograms(id, programs)
        when (owner) {
            null -> Unit
            at -> directory.forget(message)
            else -> exchange.ask(owner.address, message, FORGET_LIMIT)
        }
    }

    private companion object {
        val RETRY = 200.milliseconds
        val DROP_PERIOD = 10.seconds
        val FORGET_LIMIT = 1.seconds
        val COUNT_LIMIT = 1.seconds

        /** Longer than any route keeps a turn, since a program may come back after a final fault. */
        val KEEP: Duration = 5.minutes
    }
}
