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
 * Replicates the records of a home to the disks of retainers until they are committed.
 *
 * All waiting records are sent to a retainer in one message, and one message at a time. Every record goes to as many
 * retainers as [copies] requires; another one is added when they are late.
 */
internal class RecordRetention(
    private val journal: HomeJournal,
    private val copies: RecordCopies,
    private val distance: (PlaceName) -> Distance,
    private val exchange: Exchange,
    private val directory: RetainerDirectory,
) {
    /**
     * The state of one retainer.
     *
     * @property from the number above which the retainer keeps records.
     * @property kept the number up to which the retainer keeps records.
     * @property isUsed whether records are sent to the retainer.
     * @property isLate whether the retainer did not respond to the last request, or declined it.
     */
    private data class RetainerState(
        val retainer: Retainer,
        val from: Long,
        val kept: Long,
        val isUsed: Boolean,
        val isLate: Boolean = false,
    )

    private val states = MutableStateFlow<List<RetainerState>>(emptyList())

    /** The number up to which each record is committed or kept by enough retainers. */
    private val durableUpTo = MutableStateFlow(0L)

    /** Waits until the record [number] is committed or kept by enough retainers; returns false after [limit]. */
    suspend fun awaitDurable(
        number: Long,
        limit: Duration,
    ): Boolean {
        journal.requireNotEnded()
        val isDurable = withTimeoutOrNull(limit) { durableUpTo.first { it >= number || journal.ended.isCompleted } }
        journal.requireNotEnded()
        return isDurable != null
    }

    /** Replicates records until the home has ended or the caller is cancelled. */
    suspend fun run() {
        coroutineScope {
            val scope = this
            launch { combine(states, journal.committedNumber, ::computeDurableUpTo).collect(::raiseDurableUpTo) }
            launch { handleLateRecords() }
            journal.namedRetainers.collectLatest { named ->
                // The coroutines that sent records to the former retainers have ended, so no more are sent to these.
                val last = journal.lastNumber.value
                noLongerNamed(named).forEach { scope.launch { release(it, last) } }
                replicateTo(named)
            }
        }
    }

    private fun noLongerNamed(named: List<Retainer>): List<Retainer> {
        val kept = named.map { it.id }.toSet()
        return states.value.map { it.retainer }.filter { it.id !in kept }
    }

    /** Lets [former], which is no longer named, drop its records once all records up to [last] are committed. */
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
            if (exchange.ask(former.address, message, REQUEST_TIMEOUT) != null) return
            delay(COMMIT_REPORT_INTERVAL)
        }
        log.info { "former retainer ${former.host} of ${journal.home} did not respond to the release of its records" }
    }

    private fun raiseDurableUpTo(number: Long) = durableUpTo.update { maxOf(it, number) }

    /** The last number up to which each record is committed or kept by as many retainers as required. */
    private fun computeDurableUpTo(
        kept: List<RetainerState>,
        committed: Long,
    ): Long {
        var number = maxOf(committed, durableUpTo.value)
        while (true) {
            val holders = kept.filter { it.from <= number && it.kept > number }.map { it.kept }.sortedDescending()
            number = holders.getOrNull(copies.required - 1) ?: return number
        }
    }

    private suspend fun replicateTo(named: List<Retainer>) {
        val nearest = named.sortedBy { distance(it.place) }
        states.value =
            nearest.mapIndexed { index, retainer ->
                RetainerState(retainer, durableUpTo.value, durableUpTo.value, isUsed = index < copies.required)
            }
        journal.isUrgent = named.size < copies.required
        coroutineScope { named.forEach { retainer -> launch { sendRecords(retainer) } } }
    }

    private suspend fun sendRecords(retainer: Retainer) {
        var reportedCommitted = 0L
        while (!journal.ended.isCompleted) {
            val state = awaitWork(retainer.id, reportedCommitted) ?: return
            val committed = journal.committedNumber.value
            val batch = if (state.isUsed) journal.batchAbove(state.kept) else RecordBatch(emptyList(), state.kept)
            val message = KeepRecords(retainer.id, journal.home, committed, batch.records)
            when (val reply = exchange.ask(retainer.address, message, REQUEST_TIMEOUT)) {
                is Done -> {
                    directory.recordResponse(retainer.id)
                    reportedCommitted = committed
                    updateState(retainer.id) { it.copy(kept = maxOf(it.kept, batch.lastNumber), isLate = false) }
                }
                is Declined -> {
                    log.warn { "retainer ${retainer.host} refused records of ${journal.home}: ${reply.reason}" }
                    journal.checkTakenOver()
                    updateState(retainer.id) { it.copy(isLate = true) }
                    delay(RETRY_DELAY)
                }
                else -> {
                    directory.recordNoResponse(retainer.id)
                    updateState(retainer.id) { it.copy(isLate = true) }
                    delay(RETRY_DELAY)
                }
            }
        }
    }

    /** Waits until there are records to send to [id], or records that it can drop; null if it is no longer named. */
    private suspend fun awaitWork(
        id: RetainerId,
        reportedCommitted: Long,
    ): RetainerState? {
        val isDue =
            withTimeoutOrNull(COMMIT_REPORT_INTERVAL) {
                combine(states, journal.lastNumber) { kept, last -> kept.find { it.retainer.id == id } to last }
                    .first { (state, last) -> state == null || (state.isUsed && last > state.kept) }
            }
        val state = states.value.find { it.retainer.id == id } ?: return null
        if (isDue == null && journal.committedNumber.value <= reportedCommitted) return awaitWork(id, reportedCommitted)
        return state
    }

    /**
     * Adds another retainer when a record has waited for longer than [MAX_WAIT], or has it committed at once
     * when there is none.
     */
    private suspend fun handleLateRecords() {
        while (true) {
            val late = journal.lastNumber.first { it > durableUpTo.value }
            if (withTimeoutOrNull(MAX_WAIT) { durableUpTo.first { it >= late } } != null) continue
            val next = states.value.find { !it.isUsed && !it.isLate }
            if (next != null) {
                log.info {
                    "retainer ${next.retainer.host} added: fewer than ${copies.required} kept record $late in $MAX_WAIT"
                }
                updateState(next.retainer.id) {
                    it.copy(isUsed = true, from = durableUpTo.value, kept = durableUpTo.value)
                }
            } else {
                journal.isUrgent = true
            }
            withTimeoutOrNull(REQUEST_TIMEOUT) { durableUpTo.first { it >= late } }
            releaseSurplusRetainers()
        }
    }

    /** Stops using the farther retainers once enough of the nearest ones keep up again. */
    private fun releaseSurplusRetainers() {
        val current = states.value
        val upToDate = current.filter { it.isUsed && !it.isLate && it.kept >= durableUpTo.value }
        journal.isUrgent = current.count { !it.isLate } < copies.required
        if (upToDate.size <= copies.required) return
        val kept = upToDate.take(copies.required).map { it.retainer.id }
        states.update { all -> all.map { if (it.retainer.id in kept) it else it.copy(isUsed = false) } }
    }

    private fun updateState(
        id: RetainerId,
        transform: (RetainerState) -> RetainerState,
    ) = states.update { all -> all.map { if (it.retainer.id == id) transform(it) else it } }

    private companion object {
        /** Two round trips to the farthest region, and the sync of the disk. */
        val MAX_WAIT = 60.milliseconds
        val REQUEST_TIMEOUT = 1.seconds
        val RETRY_DELAY = 100.milliseconds

        /** A retainer that does not respond to this many attempts no longer exists, or its host was replaced. */
        const val RELEASE_ATTEMPTS = 30

        /**
         * Interval at which retainers are notified of committed records, which they can drop, when nothing else is
         * sent.
         */
        val COMMIT_REPORT_INTERVAL = 1.seconds
    }
}
