package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.decisions.turns.Distance
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.KeepRecords
import sycamore.links.ask
import sycamore.model.PlaceName
import sycamore.turns.Retainer
import sycamore.turns.RetainerId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Has the records of a home kept on the disks of retainers until they are committed.
 *
 * All records that wait are sent to a retainer in one message, one message at a time. As many retainers as [copies] says get every
 * record; another one joins when they are late.
 */
internal class RecordRetention(
    private val journal: HomeJournal,
    private val copies: RecordCopies,
    private val distance: (PlaceName) -> Distance,
    private val exchange: Exchange,
    private val directory: RetainerDirectory,
) {
    /** What one retainer keeps: the records above [from] up to [kept]. */
    private data class Kept(
        val retainer: Retainer,
        val from: Long,
        val kept: Long,
        val isUsed: Boolean,
        val isLate: Boolean = false,
    )

    private val keepers = MutableStateFlow<List<Kept>>(emptyList())
    private val safe = MutableStateFlow(0L)

    /** Waits until the record [number] is committed or kept by enough retainers; false after [limit]. */
    suspend fun awaitSafe(
        number: Long,
        limit: Duration,
    ): Boolean {
        journal.requireNotEnded()
        val isSafe = withTimeoutOrNull(limit) { safe.first { it >= number || journal.ended.isCompleted } }
        journal.requireNotEnded()
        return isSafe != null
    }

    /** Works until the home has ended or the caller is cancelled. */
    suspend fun run() {
        coroutineScope {
            val scope = this
            launch {
                combine(
                    keepers,
                    journal.committedNumber,
                ) { kept, committed -> safeUpTo(kept, committed) }.collect(::raise)
            }
            launch { watchLate() }
            journal.namedRetainers.collectLatest { named ->
                // What the retainers got is no longer changing: those that sent to them have ended.
                val last = journal.lastNumber.value
                dropped(named).forEach { scope.launch { release(it, last) } }
                serve(named)
            }
        }
    }

    private fun dropped(named: List<Retainer>): List<Retainer> {
        val kept = named.map { it.id }.toSet()
        return keepers.value.map { it.retainer }.filter { it.id !in kept }
    }

    /** Tells [former], which is not named any more, to keep nothing, once all up to [last] is committed. */
    private suspend fun release(
        former: Retainer,
        last: Long,
    ) {
        journal.committedNumber.first { it >= last || journal.ended.isCompleted }
        repeat(RELEASE_ATTEMPTS) {
            val isNamed = journal.namedRetainers.value.any { it.id == former.id }
            if (isNamed || journal.ended.isCompleted) return
            val committed = journal.committedNumber.value
            val message = KeepRecords(former.id, journal.home, committed, emptyList())
            if (exchange.ask(former.address, message, ASK_LIMIT) != null) return
            delay(TELL_PERIOD)
        }
        log.info { "former retainer ${former.host} of ${journal.home} did not answer" }
    }

    private fun raise(number: Long) = safe.update { maxOf(it, number) }

    /** The last number up to which each record is committed or kept by as many retainers as it takes. */
    private fun safeUpTo(
        kept: List<Kept>,
        committed: Long,
    ): Long {
        var number = maxOf(committed, safe.value)
        while (true) {
            val holders = kept.filter { it.from <= number && it.kept > number }.map { it.kept }.sortedDescending()
            number = holders.getOrNull(copies.least - 1) ?: return number
        }
    }

    private suspend fun serve(named: List<Retainer>) {
        val nearest = named.sortedBy { distance(it.place) }
        keepers.value =
            nearest.mapIndexed { index, retainer ->
                Kept(retainer, safe.value, safe.value, isUsed = index < copies.least)
            }
        journal.isUrgent = named.size < copies.least
        coroutineScope { named.forEach { retainer -> launch { feed(retainer) } } }
    }

    private suspend fun feed(retainer: Retainer) {
        var told = 0L
        while (!journal.ended.isCompleted) {
            val state = awaitWork(retainer.id, told) ?: return
            val committed = journal.committedNumber.value
            val batch = if (state.isUsed) journal.batchAbove(state.kept) else RecordBatch(emptyList(), state.kept)
            val reply =
                exchange.ask(
                    retainer.address,
                    KeepRecords(retainer.id, journal.home, committed, batch.records),
                    ASK_LIMIT,
                )
            when (reply) {
                is Done -> {
                    directory.answered(retainer.id)
                    told = committed
                    change(retainer.id) { it.copy(kept = maxOf(it.kept, batch.lastNumber), isLate = false) }
                }
                is Declined -> {
                    log.warn { "retainer ${retainer.host} refused records of ${journal.home}: ${reply.reason}" }
                    journal.checkTakenOver()
                    change(retainer.id) { it.copy(isLate = true) }
                    delay(RETRY)
                }
                else -> {
                    directory.unanswered(retainer.id)
                    change(retainer.id) { it.copy(isLate = true) }
                    delay(RETRY)
                }
            }
        }
    }

    /** Waits until there is something to send to [id] or to be dropped there; null if it is not used any more. */
    private suspend fun awaitWork(
        id: RetainerId,
        told: Long,
    ): Kept? {
        val isDue =
            withTimeoutOrNull(TELL_PERIOD) {
                combine(keepers, journal.lastNumber) { kept, last -> kept.find { it.retainer.id == id } to last }
                    .first { (state, last) -> state == null || (state.isUsed && last > state.kept) }
            }
        val state = keepers.value.find { it.retainer.id == id } ?: return null
        if (isDue == null && journal.committedNumber.value <= told) return awaitWork(id, told)
        return state
    }

    /** Uses another retainer when a record has waited for too long, and commits at once when there is none. */
    private suspend fun watchLate() {
        while (true) {
            val waiting = journal.lastNumber.first { it > safe.value }
            if (withTimeoutOrNull(LATE) { safe.first { it >= waiting } } != null) continue
            val unused = keepers.value.find { !it.isUsed && !it.isLate }
            if (unused != null) {
                log.info {
                    "retainer ${unused.retainer.host} joins, since ${copies.least} do not keep record $waiting after $LATE"
                }
                change(unused.retainer.id) { it.copy(isUsed = true, from = safe.value, kept = safe.value) }
            } else {
                journal.isUrgent = true
            }
            withTimeoutOrNull(ASK_LIMIT) { safe.first { it >= waiting } }
            settle()
        }
    }

    /** Goes back to the nearest retainers once they keep up again. */
    private fun settle() {
        val current = keepers.value
        val prompt = current.filter { it.isUsed && !it.isLate && it.kept >= safe.value }
        journal.isUrgent = current.count { !it.isLate } < copies.least
        if (prompt.size <= copies.least) return
        val kept = prompt.take(copies.least).map { it.retainer.id }
        keepers.update { all -> all.map { if (it.retainer.id in kept) it else it.copy(isUsed = false) } }
    }

    private fun change(
        id: RetainerId,
        change: (Kept) -> Kept,
    ) = keepers.update { all -> all.map { if (it.retainer.id == id) change(it) else it } }

    private companion object {
        /** Twice the way to the farthest region and back, and the disk's sync. */
        val LATE = 60.milliseconds
        val ASK_LIMIT = 1.seconds
        val RETRY = 100.milliseconds

        /** A retainer that does not answer for this many periods is gone, or its host was replaced. */
        const val RELEASE_ATTEMPTS = 30

        /** How often retainers learn what they need not keep any more, when nothing else is sent. */
        val TELL_PERIOD = 1.seconds
    }
}
