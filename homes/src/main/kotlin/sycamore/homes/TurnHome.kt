package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.daemon.Background
import sycamore.daemon.accounts.AccountClocks
import sycamore.daemon.homes.HomeList
import sycamore.daemon.homes.homeEntry
import sycamore.daemon.log.event
import sycamore.decisions.accounts.QuotaBounds
import sycamore.decisions.turns.Distance
import sycamore.links.CountTokens
import sycamore.links.Exchange
import sycamore.links.HomeEndpoint
import sycamore.links.UnregisterPrograms
import sycamore.links.ask
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.PlaceName
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName
import sycamore.services.KeyValue
import sycamore.services.KeyVersion
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import sycamore.turns.LogRecord
import sycamore.turns.TurnBroken
import sycamore.turns.TurnEnd
import sycamore.turns.TurnFinished
import sycamore.turns.TurnRecord
import sycamore.turns.TurnRecords
import sycamore.turns.TurnStarted
import sycamore.turns.TurnTable
import sycamore.turns.TurnsCounted
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * One home: the programs that it serves, the log of their turns, and the retention of records until they are committed.
 */
internal class TurnHome(
    val id: HomeId,
    val address: Address,
    copies: RecordCopies,
    distance: (PlaceName) -> Distance,
    private val keys: KeyValue,
    maxValueBytes: Int,
    private val retainers: RetainerDirectory,
    spent: SpentPrograms,
    private val exchange: Exchange,
    homes: HomeList,
    isComplete: (TurnHome) -> Boolean,
    isAdopting: () -> Boolean,
    onUnresponsive: (HomeEndpoint) -> Unit,
    quotaBounds: QuotaBounds,
    clocks: AccountClocks,
    time: TimeSource.WithComparableMarks,
) {
    val table = TurnTable(time)
    private val location = HomeEndpoint(id, address)
    val registrations = ProgramRegistrations(location, homes, table)
    val directory =
        ProgramDirectory(
            location,
            homes,
            exchange,
            time,
            { registrations.answerClaim(it, isComplete(this)) },
            onUnresponsive,
        )
    private val background = Background()
    val assignments =
        ProgramAssignments(
            location,
            table,
            registrations,
            directory,
            spent,
            exchange,
            time,
            isAdopting,
            { background.launch("registering a program", it) },
            onUnresponsive,
        )
    val limits = AccountLimitsOwner(id, homes, keys, exchange, quotaBounds, clocks, ::registration)
    val journal = HomeJournal(id, keys, time, maxValueBytes, retainers::choose)
    val retention = RecordRetention(journal, copies, distance, exchange, retainers)

    private val registered = CompletableDeferred<Revision>()

    /** Whether the home is registered in the key-value service, so that a successor would find its log. */
    val isRegistered: Boolean get() = registered.isCompleted

    /** Whether the home accepts turns. */
    @Volatile
    var isReady = false
        private set

    /** Suspends until the home is registered. */
    suspend fun awaitRegistered() {
        registered.await()
    }

    /** The registration in the key-value service as this home wrote it. Its version changes when the home is taken over. */
    suspend fun registration() = KeyVersion(HomeKeys.key(id), registered.await())

    /** Registers the home and runs its background work until it has been taken over or the caller is cancelled. */
    suspend fun run() {
        registered.complete(register())
        retainers.initialized.await()
        coroutineScope {
            val work =
                listOf(
                    launch { journal.run() },
                    launch { retention.run() },
                    launch { directory.run() },
                    launch { background.run() },
                    launch { dropIdlePrograms() },
                    launch { limits.run() },
                )
            if (journal.awaitOpened()) {
                isReady = true
                logger.info { "home $id serves at $address" }
            }
            journal.ended.await()
            isReady = false
            work.forEach { it.cancel() }
        }
    }

    /** Registers the home. Returns the version of its registration. */
    private suspend fun register(): Revision {
        val key = HomeKeys.key(id)
        val value = HomeKeys.encode(HomeEntry(id, address))
        while (true) {
            val write = keys.put(key, value, Revision.ABSENT)
            val item =
                when (write) {
                    is WriteResult.Applied -> return write.version
                    is WriteResult.Conflict -> write.current
                    is WriteResult.NotSent -> null
                    is WriteResult.OutcomeUnknown -> (keys.get(key) as? ReadResult.Found)?.value
                }
            if (item != null) return item.version.also { item.homeEntry()?.successor?.let(journal::markEnded) }
            delay(REGISTRATION_RETRY_DELAY)
        }
    }

    /**
     * Adopts the programs in [logs], those of a home that was taken over and of the homes that it had claimed, oldest first. A
     * program may have records in several of them, which take effect together. Turns in progress count as broken, with all
     * tokens that they had reserved.
     */
    fun adopt(logs: List<List<LogRecord>>) {
        val encoded = logs.flatten().map { it.bytes }
        val records = encoded.map(TurnRecords::decode)
        val broken = openTurns(records).map { TurnBroken(it.program, it.turn, it.reserved) }
        table.applyAll(records + broken)
        // A program that is registered here is served at once, so its turns have to be known before.
        registrations.adopt(records)
        journal.appendAdopted(encoded)
        broken.forEach(journal::append)
        val condensedTurns = records.filterIsInstance<TurnsCounted>().sumOf { it.turns.size }
        val completeTurns = records.count { it is TurnFinished } + condensedTurns
        logger.event(
            "programs-adopted",
            "home" to id,
            "records" to records.size,
            "whole" to completeTurns,
            "broken" to broken.size,
        )
    }

    /** The last starts of the turns that have no later end. A turn that its engine refused may have been started again. */
    private fun openTurns(records: List<TurnRecord>): Collection<TurnStarted> {
        val open = LinkedHashMap<AttemptId, TurnStarted>()
        for (record in records) {
            when (record) {
                is TurnStarted -> open[record.turn] = record
                is TurnEnd -> open.remove(record.turn)
                is TurnsCounted -> open -= record.turns.toSet()
            }
        }
        return open.values
    }

    /**
     * Counts tokens that another home has passed on to the caller of a program of this home. Returns false if the
     * records could not be kept in time.
     */
    suspend fun countTokens(tokens: CountTokens): Boolean {
        val start = TurnStarted(tokens.program, tokens.turn, null, ByteArray(0), tokens.tokens, isRegistered = true)
        val end = TurnBroken(tokens.program, tokens.turn, tokens.tokens)
        listOf(start, end).forEach(table::apply)
        journal.append(start)
        return retention.awaitDurable(journal.append(end), COUNT_TIMEOUT)
    }

    private suspend fun dropIdlePrograms() {
        while (true) {
            delay(IDLE_CHECK_INTERVAL)
            val dropped = table.dropIdle(PROGRAM_RETENTION)
            if (dropped.isEmpty()) continue
            logger.info { "home $id has dropped ${dropped.size} idle programs" }
            registrations.forget(dropped)
            assignments.forget(dropped)
            dropped.groupBy(registrations::ownerOf).forEach { (owner, programs) -> notifyDirectory(owner, programs) }
        }
    }

    /**
     * Notifies [owner], which keeps the directory of [programs], that they were dropped. A directory that misses this
     * message keeps the programs, which only means that their next turns are sent to this home.
     */
    private suspend fun notifyDirectory(
        owner: HomeEndpoint?,
        programs: List<ProgramName>,
    ) {
        val message = UnregisterPrograms(id, programs)
        when (owner) {
            null -> Unit
            location -> directory.forget(message)
            else -> exchange.ask(owner.address, message, FORGET_TIMEOUT)
        }
    }

    private companion object {
        val REGISTRATION_RETRY_DELAY = 200.milliseconds
        val IDLE_CHECK_INTERVAL = 10.seconds
        val FORGET_TIMEOUT = 1.seconds
        val COUNT_TIMEOUT = 1.seconds

        /**
         * How long an idle program is kept. This is longer than any route keeps a turn, since a caller may return to a
         * program after a final error.
         */
        val PROGRAM_RETENTION: Duration = 5.minutes
    }
}
