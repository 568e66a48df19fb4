package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.FlowPreview
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.timeout
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.homes.homeEntry
import sycamore.daemon.log.event
import sycamore.daemon.log.warning
import sycamore.links.Declined
import sycamore.links.DropHomeRecords
import sycamore.links.EndHome
import sycamore.links.EndedHomeRecords
import sycamore.links.Exchange
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import sycamore.links.HomeEndpoint
import sycamore.links.HomeTakenOver
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.SomeHomeRecords
import sycamore.links.TakeOverHome
import sycamore.links.ask
import sycamore.model.HomeId
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import sycamore.turns.LogRecord
import sycamore.turns.Retainer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * Takes over the programs of homes that have been lost or are leaving.
 *
 * @param isLeaving returns whether the host of this daemon is leaving. It then begins no takeover.
 */
internal class HomeTakeovers(
    private val keys: KeyValue,
    private val exchange: Exchange,
    private val copies: RecordCopies,
    private val scope: CoroutineScope,
    private val meters: TurnMeters,
    private val time: TimeSource,
    private val isLeaving: () -> Boolean,
    private val currentHome: () -> TurnHome,
) {
    private val logSealer = LogSealer(keys)

    /** The results of the takeovers in progress, by lost home. */
    private val inProgress = ConcurrentHashMap<HomeId, CompletableDeferred<Message>>()

    /** The successors of the homes whose takeover by this daemon is complete. */
    private val completed = ConcurrentHashMap<HomeId, HomeEndpoint>()

    /**
     * The number of homes that have been claimed, or are being claimed, and whose programs are not adopted yet. A home
     * whose entry is only being read does not count: while the key-value service does not answer, that may take seconds,
     * and no directory would be complete meanwhile.
     */
    private val claimCount = AtomicInteger()

    /** Whether there may be former homes of this host that have not been taken over. */
    @Volatile
    private var hasFormerHomes = true

    /** Whether this home has claimed homes, or is claiming them, whose programs it has not adopted yet. */
    val isAdopting: Boolean get() = claimCount.get() > 0

    /** Whether there are takeovers by this home whose programs it has not adopted yet. */
    val hasPending: Boolean get() = hasFormerHomes || isAdopting

    /** Takes over the home that [request] names, unless it is serving or another home has taken it over. */
    suspend fun takeOver(request: TakeOverHome): Message {
        val lost = request.lost.home
        val result = CompletableDeferred<Message>()
        val other = inProgress.putIfAbsent(lost, result)
        if (other != null) return other.await()
        scope.launch {
            try {
                result.complete(attemptTakeover(request))
            } catch (e: HomeEndedException) {
                result.complete(Declined(e.message!!, RETRY_DELAY))
            } finally {
                inProgress.remove(lost)
                result.complete(Declined("the takeover of $lost failed", RETRY_DELAY))
            }
        }
        return result.await()
    }

    /** Takes over all former homes of this host that no other home has taken over. */
    suspend fun takeOverFormerHomes(own: HomeId) {
        currentHome().awaitRegistered()
        while (!tryTakeOverFormerHomes(own)) delay(RETRY_DELAY)
        hasFormerHomes = false
    }

    /** Returns whether all former homes of this host have been taken over. */
    private suspend fun tryTakeOverFormerHomes(own: HomeId): Boolean {
        val entries = entries() ?: return false
        val former = entries.filter { it.home.host == own.host && it.home != own && it.successor == null }
        val replies = former.map { takeOver(TakeOverHome(HomeEndpoint(it.home, it.address), isVoluntary = true)) }
        return replies.all { it is HomeTakenOver }
    }

    private suspend fun entries(): List<HomeEntry>? =
        (keys.list(HomeKeys.PREFIX) as? ReadResult.Found)?.value?.mapNotNull { it.homeEntry() }

    private suspend fun attemptTakeover(request: TakeOverHome): Message {
        val lost = request.lost.home
        val home = currentHome()
        completed[lost]?.takeIf { it.home == home.id }?.let { return HomeTakenOver(lost, it) }
        reasonToDecline(request, home)?.let { return it }
        val read =
            withTimeoutOrNull(ENTRY_READ_TIMEOUT) { keys.get(HomeKeys.key(lost)) } as? ReadResult.Found
                ?: return Declined(NO_ANSWER, RETRY_DELAY)
        val successor = read.value?.successorEntry()
        if (successor != null && successor.successor != home.id) return takenOver(successor)
        return claimAndRecover(request, home, read.value)
    }

    /** Why [home] does not take over the home that [request] names; null if it may. */
    private suspend fun reasonToDecline(
        request: TakeOverHome,
        home: TurnHome,
    ): Declined? {
        val lost = request.lost
        if (lost.home == home.id) return Declined("${lost.home} is alive")
        // The programs of a home that is handed over, or was a former home of this host, are read even before this home
        // is ready.
        val canTakeOver = home.isReady || request.isVoluntary && home.isRegistered
        return when {
            // Its own handover may be over, so that no other home would get what it adopts.
            isLeaving() -> Declined("the host of ${home.id} is leaving", RETRY_DELAY)
            !canTakeOver -> Declined("${home.id} is not ready", RETRY_DELAY)
            request.isVoluntary -> null
            // After a power failure the first home that is up would be requested to take over all others, and would take
            // long to read their logs. The hosts of these homes are starting too, and each of them reads its own former
            // home in the meantime.
            hasPending -> Declined("${home.id} is taking over another home", RETRY_DELAY)
            isServing(lost) -> Declined("${lost.home} is alive", RETRY_DELAY)
            else -> null
        }
    }

    /** Takes over the home that [request] names, whose entry [item] names no other successor than [home]. */
    private suspend fun claimAndRecover(
        request: TakeOverHome,
        home: TurnHome,
        item: Item?,
    ): Message {
        val lost = request.lost
        if (claimCount.incrementAndGet() > 1 && !request.isVoluntary) {
            claimCount.decrementAndGet()
            return Declined("${home.id} is taking over another home", RETRY_DELAY)
        }
        try {
            val entry = item?.successorEntry() ?: claim(lost, home, item) ?: return Declined(NO_ANSWER, RETRY_DELAY)
            if (entry.successor != home.id) return takenOver(entry)
            recoverWithRetries(lost, home)
        } finally {
            claimCount.decrementAndGet()
        }
        val at = HomeEndpoint(home.id, home.address)
        completed[lost.home] = at
        return HomeTakenOver(lost.home, at)
    }

    /**
     * Returns whether [lost] is serving. Requests its status until [LIVENESS_TIMEOUT], since its daemon may only be
     * slow.
     */
    private suspend fun isServing(lost: HomeEndpoint): Boolean {
        val startedAt = time.markNow()
        while (startedAt.elapsedNow() < LIVENESS_TIMEOUT) {
            try {
                val left = LIVENESS_TIMEOUT - startedAt.elapsedNow()
                val status = withTimeoutOrNull(left) { exchange(lost.address, GetGateStatus).firstOrNull() }
                if (status is GateStatus) return status.home == lost.home
            } catch (e: LinkException) {
                if (e.isRefused) return false
            }
            delay(LIVENESS_RETRY_DELAY)
        }
        return false
    }

    private fun takenOver(entry: HomeEntry): Message =
        HomeTakenOver(entry.home, HomeEndpoint(entry.successor!!, entry.successorAddress!!))

    /**
     * Makes [home] the successor of [lost] unless it has got one since its entry [item] was read. Returns the entry that
     * names the successor, or null if the claim was not written and will not be.
     *
     * A home that was taken over itself claims no other one: its successor has read already which homes to adopt. A
     * claim without an answer is repeated, since it may take effect later and no other home could adopt the programs.
     */
    private suspend fun claim(
        lost: HomeEndpoint,
        home: TurnHome,
        item: Item?,
    ): HomeEntry? {
        val key = HomeKeys.key(lost.home)
        val claim = HomeEntry(lost.home, lost.address, home.id, home.address)
        val expected = item?.version ?: Revision.ABSENT
        var mayBeWritten = false
        while (true) {
            home.journal.requireNotEnded()
            val write = keys.put(key, HomeKeys.encode(claim), expected, condition = home.registration())
            when (write) {
                is WriteResult.Applied -> return claim.also { logClaim(it) }
                is WriteResult.Conflict -> return write.current?.successorEntry() ?: declineClaim(lost, home)
                is WriteResult.NotSent -> if (!mayBeWritten) return null
                is WriteResult.OutcomeUnknown -> {
                    mayBeWritten = true
                    log.event("home-claim-unanswered", "lost" to lost.home, "home" to home.id, "detail" to write.reason)
                }
            }
            delay(RETRY_DELAY)
        }
    }

    private fun logClaim(claim: HomeEntry) = log.info { "home ${claim.successor} has claimed lost home ${claim.home}" }

    /** Handles the refusal of a claim of [lost], which has no successor: an entry has changed since it was read. */
    private suspend fun declineClaim(
        lost: HomeEndpoint,
        home: TurnHome,
    ): HomeEntry? {
        log.event("home-claim-refused", "lost" to lost.home, "home" to home.id)
        home.journal.checkTakenOver()
        return null
    }

    private fun Item.successorEntry(): HomeEntry? = homeEntry()?.takeIf { it.successor != null }

    /** Retries until the programs are adopted, since a home that has been claimed gets no other successor. */
    private suspend fun recoverWithRetries(
        lost: HomeEndpoint,
        home: TurnHome,
    ) {
        val startedAt = time.markNow()
        while (!recover(lost, home)) {
            home.journal.requireNotEnded()
            delay(RETRY_DELAY)
        }
        meters.recordTakeover(startedAt.elapsedNow())
        log.event(
            "home-taken-over",
            "lost" to lost.home,
            "home" to home.id,
            "ms" to startedAt.elapsedNow().inWholeMilliseconds,
        )
    }

    /**
     * Adopts the programs of [lost], and those of the homes that [lost] itself had claimed and not merged yet. Returns
     * false if the service or too many retainers cannot be reached.
     */
    private suspend fun recover(
        lost: HomeEndpoint,
        home: TurnHome,
    ): Boolean {
        val entries = entries() ?: return postpone("the homes cannot be listed", lost.home)
        val unvisited = ArrayDeque(listOf(lost.home))
        val claimed = LinkedHashSet<HomeId>()
        while (unvisited.isNotEmpty()) {
            val next = unvisited.removeFirst()
            if (!claimed.add(next)) continue
            unvisited += entries.filter { it.successor == next && !it.isMerged }.map { it.home }
        }
        val startedAt = time.markNow()
        // The oldest come first, so that this home's own log has the turns of a program in their order.
        val logs =
            claimed.reversed().map {
                logSealer.seal(
                    it,
                    home.id,
                ) ?: return postpone("the log cannot be read", it)
            }
        val read = startedAt.elapsedNow()
        val retained = logs.map { collect(it) ?: return postpone("too few retainers respond", it.home) }
        val collected = startedAt.elapsedNow()
        home.adopt(logs.zip(retained) { committed, kept -> committed.recordsWith(kept) })
        log.event(
            "home-read",
            "homes" to claimed,
            "read_ms" to read.inWholeMilliseconds,
            "retainers_ms" to (collected - read).inWholeMilliseconds,
            "adopt_ms" to (startedAt.elapsedNow() - collected).inWholeMilliseconds,
        )
        scope.launch { logs.forEach { deleteMerged(it, home) } }
        return true
    }

    private fun postpone(
        reason: String,
        lost: HomeId,
    ): Boolean {
        log.warning("home-takeover-waits", "lost" to lost, "detail" to reason)
        return false
    }

    /** Returns the records that retainers keep of [lost], or null if too few of them respond. */
    private suspend fun collect(lost: SealedLog): List<LogRecord>? {
        val retainers = lost.retainers.flatten().distinctBy { it.id }
        val replies = coroutineScope { retainers.map { async { it.id to endHome(it, lost.home) } }.awaitAll() }.toMap()
        val isEnough =
            lost.retainers.all { group -> copies.isReadQuorum(group.count { replies[it.id] != null }, group.size) }
        return if (isEnough) replies.values.filterNotNull().flatten() else null
    }

    /** Ends [lost] at [retainer]. Returns all records that it keeps of [lost], or null if it has not sent all of them. */
    @OptIn(FlowPreview::class)
    private suspend fun endHome(
        retainer: Retainer,
        lost: HomeId,
    ): List<LogRecord>? {
        val records = ArrayList<LogRecord>()
        var isComplete = false
        try {
            exchange(retainer.address, EndHome(retainer.id, lost)).timeout(RETAINER_TIMEOUT).collect { reply ->
                if (reply is SomeHomeRecords) records += reply.records
                if (reply is EndedHomeRecords) {
                    records += reply.records
                    isComplete = true
                }
            }
        } catch (e: LinkException) {
            log.info { "retainer ${retainer.host} did not send the records of $lost: ${e.message}" }
        } catch (_: TimeoutCancellationException) {
            currentCoroutineContext().ensureActive()
            log.info { "retainer ${retainer.host} did not send the records of $lost within $RETAINER_TIMEOUT" }
        }
        return records.takeIf { isComplete }
    }

    /**
     * Deletes the log of [lost] and the records that retainers keep of it, once [home] has committed its programs. The
     * commit is not hurried: turns wait for this home now, and a successor of it would read both logs.
     */
    private suspend fun deleteMerged(
        lost: SealedLog,
        home: TurnHome,
    ) {
        home.journal.awaitCommitted()
        if (home.journal.ended.isCompleted) return
        markMerged(lost.home, home)
        logSealer.deleteSegments(lost)
        lost.retainers
            .flatten()
            .distinctBy { it.id }
            .forEach { exchange.ask(it.address, DropHomeRecords(lost.home), RETAINER_TIMEOUT) }
    }

    private suspend fun markMerged(
        lost: HomeId,
        home: TurnHome,
    ) {
        while (true) {
            val item = (keys.get(HomeKeys.key(lost)) as? ReadResult.Found)?.value
            if (item != null) {
                val entry = HomeEntry(lost, home.address, home.id, home.address, isMerged = true)
                val write = keys.put(item.key, HomeKeys.encode(entry), item.version, MERGED_ENTRY_LEASE)
                if (write is WriteResult.Applied || write is WriteResult.Conflict) return
            }
            delay(RETRY_DELAY)
        }
    }

    private companion object {
        const val NO_ANSWER = "the key-value service does not answer"

        /**
         * A slow key-value service answers within this time. A call that was sent while the service was silent gets no
         * answer after its return, so the next attempt should not wait for it.
         */
        val ENTRY_READ_TIMEOUT = 500.milliseconds

        /** Callers of turns wait for 3 s. A home that does not respond for about half of that is taken over. */
        val LIVENESS_TIMEOUT = 1200.milliseconds
        val LIVENESS_RETRY_DELAY = 100.milliseconds

        /**
         * How long the entry of a merged home lasts. Idle programs are kept for 5 minutes, so a process of that home
         * that was paused for longer than this has none left.
         */
        val MERGED_ENTRY_LEASE = 10.minutes

        /** The longest time to wait for the next reply of a retainer. */
        val RETAINER_TIMEOUT = 1.seconds
        val RETRY_DELAY = 300.milliseconds
    }
}
