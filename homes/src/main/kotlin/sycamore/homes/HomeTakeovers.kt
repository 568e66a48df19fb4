package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
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
import sycamore.links.TakeOverHome
import sycamore.links.ask
import sycamore.model.HomeId
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.Read
import sycamore.services.Revision
import sycamore.services.Write
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

/** Takes over the programs of homes that are lost or leave. */
internal class HomeTakeovers(
    private val keys: KeyValue,
    private val exchange: Exchange,
    private val copies: RecordCopies,
    private val scope: CoroutineScope,
    private val meters: TurnMeters,
    private val time: TimeSource,
    private val self: () -> TurnHome,
) {
    private val seals = LogSeals(keys)
    private val running = ConcurrentHashMap<HomeId, CompletableDeferred<Message>>()
    private val finished = ConcurrentHashMap<HomeId, HomeEndpoint>()
    private val claimed = AtomicInteger()

    /** Whether former homes of this host may be left to take over. */
    @Volatile
    private var hasFormer = true

    /** Whether there are homes whose programs belong here and are not here yet. */
    val isBusy: Boolean get() = hasFormer || claimed.get() > 0

    /** Takes over the home that [order] names, unless it is alive or another host has done so. */
    suspend fun take(order: TakeOverHome): Message {
        val lost = order.lost.home
        val result = CompletableDeferred<Message>()
        val other = running.putIfAbsent(lost, result)
        if (other != null) return other.await()
        scope.launch {
            try {
                result.complete(attempt(order))
            } catch (e: HomeEndedException) {
                result.complete(Declined(e.message!!, RETRY))
            } finally {
                running.remove(lost)
                result.complete(Declined("the takeover of $lost failed", RETRY))
            }
        }
        return result.await()
    }

    /** Takes over former homes of this host, which nobody else has taken over. */
    suspend fun takeFormer(own: HomeId) {
        self().awaitRegistered()
        while (!tryFormer(own)) delay(RETRY)
        hasFormer = false
    }

    /** True once no former home of this host is left. */
    private suspend fun tryFormer(own: HomeId): Boolean {
        val entries = entries() ?: return false
        val former = entries.filter { it.home.host == own.host && it.home != own && it.successor == null }
        return former
            .map {
                take(TakeOverHome(HomeEndpoint(it.home, it.address), isVoluntary = true))
            }.all { it is HomeTakenOver }
    }

    private suspend fun entries(): List<HomeEntry>? =
        (keys.list(HomeKeys.PREFIX) as? Read.Found)?.value?.mapNotNull { it.value?.let(HomeKeys::decode) }

    private suspend fun attempt(order: TakeOverHome): Message {
        val lost = order.lost
        val home = self()
        finished[lost.home]?.takeIf { it.home == home.id }?.let { return HomeTakenOver(lost.home, it) }
        if (lost.home == home.id) return Declined("${lost.home} is alive")
        // Programs that are handed over, or were here before, are read while this home gets ready.
        val canTake = home.isReady || order.isVoluntary && home.isRegistered
        if (!canTake) return Declined("${home.id} is not ready", RETRY)
        // After a loss of power the first home that is up would be asked to take over all others, which it reads slowly.
        // Their own hosts are about to come up, and each of them reads its own former home meanwhile.
        if (!order.isVoluntary && isBusy) return Declined("${home.id} is taking over another home", RETRY)
        if (!order.isVoluntary && isAlive(lost)) return Declined("${lost.home} is alive", RETRY)
        if (claimed.incrementAndGet() > 1 && !order.isVoluntary) {
            claimed.decrementAndGet()
            return Declined("${home.id} is taking over another home", RETRY)
        }
        try {
            val entry = claim(lost, home) ?: return Declined("the key-value service does not answer", RETRY)
            val successor = entry.successor!!
            if (successor != home.id) return HomeTakenOver(lost.home, HomeEndpoint(successor, entry.successorAddress!!))
            recoverUntilDone(lost, home)
        } finally {
            claimed.decrementAndGet()
        }
        val at = HomeEndpoint(home.id, home.address)
        finished[lost.home] = at
        return HomeTakenOver(lost.home, at)
    }

    /** Whether [lost] serves. A daemon that does not answer is asked for long enough, since it may only be slow. */
    private suspend fun isAlive(lost: HomeEndpoint): Boolean {
        val began = time.markNow()
        while (began.elapsedNow() < ALIVE_LIMIT) {
            try {
                val left = ALIVE_LIMIT - began.elapsedNow()
                val status = withTimeoutOrNull(left) { exchange(lost.address, GetGateStatus).firstOrNull() }
                if (status is GateStatus) return status.home == lost.home
            } catch (e: LinkException) {
                if (e.isRefused) return false
            }
            delay(ALIVE_PAUSE)
        }
        return false
    }

    /** The entry of [lost] once it names a successor; null when that cannot be told now. */
    private suspend fun claim(
        lost: HomeEndpoint,
        home: TurnHome,
    ): HomeEntry? {
        val key = HomeKeys.key(lost.home)
        val item = (keys.get(key) as? Read.Found ?: return null).value
        val entry = item?.value?.let(HomeKeys::decode)
        if (entry?.successor != null) return entry
        val claim = HomeEntry(lost.home, lost.address, home.id, home.address)
        return when (val write = keys.put(key, HomeKeys.encode(claim), item?.version ?: Revision.ABSENT)) {
            is Write.Taken -> claim.also { log.info { "${home.id} claimed ${lost.home}" } }
            is Write.Conflict -> write.current?.successorEntry()
            is Write.NotSent -> null
            is Write.NotKnown -> (keys.get(key) as? Read.Found)?.value?.successorEntry()
        }
    }

    private fun Item.successorEntry(): HomeEntry? = value?.let(HomeKeys::decode)?.takeIf { it.successor != null }

    /** A home that was claimed gets no other successor, so its claimant goes on until the programs are here. */
    private suspend fun recoverUntilDone(
        lost: HomeEndpoint,
        home: TurnHome,
    ) {
        val began = time.markNow()
        while (!recover(lost, home)) {
            home.journal.requireAlive()
            delay(RETRY)
        }
        meters.takeOver(began.elapsedNow())
        log.event(
            "home-taken-over",
            "lost" to lost.home,
            "home" to home.id,
            "ms" to began.elapsedNow().inWholeMilliseconds,
        )
    }

    /** Takes in the programs of [lost], and of homes that [lost] itself had claimed and not merged yet. */
    private suspend fun recover(
        lost: HomeEndpoint,
        home: TurnHome,
    ): Boolean {
        val entries = entries() ?: return cannot("the homes cannot be listed", lost.home)
        val open = ArrayDeque(listOf(lost.home))
        val seen = LinkedHashSet<HomeId>()
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            if (!seen.add(next)) continue
            open += entries.filter { it.successor == next && !it.isMerged }.map { it.home }
        }
        val began = time.markNow()
        val logs = seen.map { seals.seal(it, home.id) ?: return cannot("the log cannot be read", it) }
        val read = began.elapsedNow()
        val retained = logs.map { collect(it) ?: return cannot("the retainers cannot be asked", it.home) }
        val collected = began.elapsedNow()
        logs.zip(retained).forEach { (written, kept) ->
            home.adopt((written.records + kept).distinctBy { it.number })
        }
        log.event(
            "home-read",
            "homes" to seen,
            "read_ms" to read.inWholeMilliseconds,
            "retainers_ms" to (collected - read).inWholeMilliseconds,
            "adopt_ms" to (began.elapsedNow() - collected).inWholeMilliseconds,
        )
        scope.launch { logs.forEach { free(it, home) } }
        return true
    }

    private fun cannot(
        reason: String,
        lost: HomeId,
    ): Boolean {
        log.warning("home-takeover-waits", "lost" to lost, "detail" to reason)
        return false
    }

    /** The records that retainers keep of [lost]; null when too few of them can be asked. */
    private suspend fun collect(lost: LostHome): List<LogRecord>? {
        val asked = lost.retainers.flatten().distinctBy { it.id }
        val replies = coroutineScope { asked.map { async { it.id to end(it, lost.home) } }.awaitAll() }.toMap()
        val isEnough =
            lost.retainers.all { group ->
                copies.isEnough(group.count { replies[it.id] != null }, group.size)
            }
        return if (isEnough) replies.values.filterNotNull().flatMap { it.records } else null
    }

    private suspend fun end(
        retainer: Retainer,
        lost: HomeId,
    ): EndedHomeRecords? =
        exchange.ask(retainer.address, EndHome(retainer.id, lost), COLLECT_LIMIT) as? EndedHomeRecords

    /** Once the programs are committed in the log of [home], what is left of the lost one is dropped. */
    private suspend fun free(
        lost: LostHome,
        home: TurnHome,
    ) {
        home.journal.flush()
        if (home.journal.ended.isCompleted) return
        markMerged(lost.home, home)
        seals.free(lost)
        lost.retainers
            .flatten()
            .distinctBy { it.id }
            .forEach { exchange.ask(it.address, DropHomeRecords(lost.home), COLLECT_LIMIT) }
    }

    private suspend fun markMerged(
        lost: HomeId,
        home: TurnHome,
    ) {
        while (true) {
            val item = (keys.get(HomeKeys.key(lost)) as? Read.Found)?.value
            if (item != null) {
                val entry = HomeEntry(lost, home.address, home.id, home.address, isMerged = true)
                val write = keys.put(item.key, HomeKeys.encode(entry), item.version, ENTRY_LEASE)
                if (write is Write.Taken || write is Write.Conflict) return
            }
            delay(RETRY)
        }
    }

    private companion object {
        /** Callers of turns wait for 3 s; a daemon that is silent for half of that is given up. */
        val ALIVE_LIMIT = 1200.milliseconds
        val ALIVE_PAUSE = 100.milliseconds

        /** Programs of the lost home are kept for a minute or so; a process that was paused for longer has none left. */
        val ENTRY_LEASE = 10.minutes
        val COLLECT_LIMIT = 1.seconds
        val RETRY = 300.milliseconds
    }
}
