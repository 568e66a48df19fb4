package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.accounts.AccountClocks
import sycamore.daemon.homes.HomeList
import sycamore.daemon.log.event
import sycamore.decisions.accounts.Quota
import sycamore.decisions.accounts.RequestKind
import sycamore.decisions.accounts.TokenBucket
import sycamore.decisions.programs.ProgramPartitions
import sycamore.links.AskCredit
import sycamore.links.CreditGranted
import sycamore.links.Exchange
import sycamore.links.HomeEndpoint
import sycamore.links.WantedCredit
import sycamore.links.ask
import sycamore.model.CallerName
import sycamore.model.Generation
import sycamore.model.HomeId
import sycamore.routing.AccountLimit
import sycamore.routing.RouteTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Spends the credit of accounts with a limit, and asks the homes that decide about it for more. All accounts of one decider share a message.
 * Nothing is sent while no account with a limit sends requests, except to prepare new deciders.
 */
internal class AccountCredits(
    private val list: HomeList,
    private val exchange: Exchange,
    private val clocks: AccountClocks,
    private val meters: CallMeters,
) {
    private val lock = Any()
    private val stocks = HashMap<CallerName, AccountStock>()
    private val messages = TokenBucket(MESSAGES_PER_SECOND, MESSAGE_BURST, -1.seconds)
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** The homes that are being asked, and when each was asked last. */
    private val asking = HashSet<HomeId>()
    private val lastAsked = HashMap<HomeId, Duration>()

    /** For each partition whose owner did not decide: that owner. Its deputy is asked instead. */
    private val declinedBy = HashMap<Int, HomeId>()

    /** For each partition the number of asks in a row that were not decided. */
    private val declines = HashMap<Int, Int>()

    /** Until when each partition is taken to have no decider. */
    private val silentUntil = HashMap<Int, Duration>()

    /**
     * Asks for credit until cancelled.
     *
     * @param tables the routes in force.
     */
    suspend fun run(tables: Flow<RouteTable?>) {
        coroutineScope {
            launch { prepareDeciders(tables) }
            for (wake in signal) {
                do {
                    val pause = askAll(this)
                    if (pause != null) withTimeoutOrNull(pause) { signal.receive() }
                } while (pause != null)
            }
        }
    }

    /** Lets homes that become owners claim their partitions before the first request has to wait for it. */
    private suspend fun prepareDeciders(tables: Flow<RouteTable?>) {
        var prepared = emptySet<HomeEndpoint>()
        combine(tables, list.views) { table, view -> table to view }.collect { (table, view) ->
            val accounts = table?.accounts?.accounts.orEmpty()
            if (accounts.values.none { it.limit != null }) return@collect
            val owners = view.owners.map { it.owner }.toSet()
            coroutineScope {
                (owners - prepared).forEach {
                    launch { exchange.ask(it.address, AskCredit(emptyList()), ASK_TIMEOUT) }
                }
            }
            prepared = owners
        }
    }

    /**
     * Takes credit for a request of [account], whose [limit] is from the configuration [generation]. Waits for the decider if the stock is
     * empty, but for less than [timeLeft].
     */
    suspend fun admit(
        account: CallerName,
        limit: AccountLimit,
        generation: Generation,
        kind: RequestKind,
        timeLeft: Duration,
    ): CreditAdmission {
        val request = AccountStock.Waiting(kind)
        synchronized(lock) {
            val now = clocks.now().elapsed
            val stock = stocks.getOrPut(account) { AccountStock(account) }
            if (generation >= stock.generation) {
                stock.generation = generation
                stock.quota = Quota(limit.requestsPerSecond, limit.burst)
            }
            stock.credit.recordArrival(kind, now)
            stock.admit(kind, now)?.let { return it.also { signal.trySend(Unit) } }
            if (silentUntil[partitionOf(account)]?.let { it > now } == true) return CreditAdmission.Unknown
            stock.waiting += request
        }
        signal.trySend(Unit)
        var admission: CreditAdmission? = null
        try {
            admission = withTimeoutOrNull(minOf(MAX_WAIT, timeLeft / 2)) { request.admission.await() }
        } finally {
            if (admission == null) withdraw(account, request)
        }
        return admission ?: CreditAdmission.Unknown
    }

    /** Removes a request that waits no longer. Credit that it has got in the meantime goes back to the stock. */
    private fun withdraw(
        account: CallerName,
        request: AccountStock.Waiting,
    ) = synchronized(lock) {
        val stock = stocks[account]
        stock?.waiting?.remove(request)
        if (!request.admission.complete(CreditAdmission.Unknown)) stock?.giveBack(request.admission.getCompleted())
    }

    /** Takes back the credit of a request that surely did not run. */
    fun giveBack(
        account: CallerName,
        admission: CreditAdmission,
    ) = synchronized(lock) { stocks[account]?.giveBack(admission) }

    /** Drops the stocks of accounts that are idle. Their credit has expired. */
    fun evictIdle() =
        synchronized(lock) {
            val now = clocks.now().elapsed
            stocks.values.removeIf { it.waiting.isEmpty() && !it.isAsking && now - it.credit.usedAt > IDLE_RETENTION }
        }

    /** Asks all deciders from whom something is needed. Returns the time until the next check; null if no account is active. */
    private fun askAll(scope: CoroutineScope): Duration? =
        synchronized(lock) {
            val now = clocks.now()
            val active =
                stocks.values.filter {
                    it.waiting.isNotEmpty() || now.elapsed - it.credit.usedAt < ACTIVE_TIME
                }
            if (active.isEmpty()) return null
            var pause = CHECK_INTERVAL
            for ((home, accounts) in byDecider(active)) {
                if (home.home in asking) continue
                val isUrgent = accounts.any { it.waiting.isNotEmpty() }
                val due = (lastAsked[home.home] ?: -CHECK_INTERVAL) + if (isUrgent) URGENT_INTERVAL else CHECK_INTERVAL
                if (due > now.elapsed) {
                    pause = minOf(pause, due - now.elapsed)
                    continue
                }
                val needed = if (isUrgent) 1.0 else 1.0 + RESERVED_MESSAGES
                if (messages.level(now.steady) < needed) {
                    pause = minOf(pause, messages.timeUntil(needed, now.steady) + 1.milliseconds)
                    break
                }
                val wanted = accounts.mapNotNull { it.wanted(now.elapsed) }
                if (wanted.isEmpty()) continue
                messages.take(1, now.steady)
                lastAsked[home.home] = now.elapsed
                asking += home.home
                wanted.forEach { stocks.getValue(it.account).isAsking = true }
                scope.launch { ask(home, AskCredit(wanted), now.elapsed) }
            }
            pause
        }

    /** The deciders of [stocks] in the order in which they are asked: first those for which requests wait, then by their last ask. */
    private fun byDecider(stocks: List<AccountStock>): List<Pair<HomeEndpoint, List<AccountStock>>> =
        stocks
            .filter { !it.isAsking }
            .groupBy { deciderOf(it.name) }
            .mapNotNull { (home, accounts) -> home?.to(accounts) }
            .sortedWith(
                compareBy(
                    { (_, accounts) -> accounts.all { it.waiting.isEmpty() } },
                    { (home, _) -> lastAsked[home.home] ?: -CHECK_INTERVAL },
                ),
            )

    private fun partitionOf(account: CallerName): Int = ProgramPartitions.partitionOf(account.value)

    private fun deciderOf(account: CallerName): HomeEndpoint? {
        val partition = partitionOf(account)
        val owner = list.view.ownerOf(partition)
        val hasDeclined = owner != null && declinedBy[partition] == owner.home
        return if (hasDeclined) list.view.deputyOf(partition) ?: owner else owner
    }

    private suspend fun ask(
        home: HomeEndpoint,
        message: AskCredit,
        askedAt: Duration,
    ) {
        val reply = exchange.ask(home.address, message, ASK_TIMEOUT) as? CreditGranted
        meters.recordCreditAsk(isAnswered = reply != null)
        synchronized(lock) {
            asking -= home.home
            val now = clocks.now().elapsed
            val granted = reply?.accounts.orEmpty().associateBy { it.account }
            for (wanted in message.accounts) {
                val stock = stocks[wanted.account] ?: continue
                stock.isAsking = false
                val credit = granted[wanted.account]
                if (credit == null) {
                    stock.credit.restoreArrived(wanted.arrived)
                    recordDeclined(wanted, home.home, now)
                } else {
                    declines.remove(partitionOf(wanted.account))
                    silentUntil.remove(partitionOf(wanted.account))
                    stock.receive(credit, reply!!.home, askedAt, now)
                }
            }
        }
        signal.trySend(Unit)
    }

    /** Turns to the deputy of [home], or back to the owner if [home] is the deputy. */
    private fun recordDeclined(
        wanted: WantedCredit,
        home: HomeId,
        now: Duration,
    ) {
        val partition = partitionOf(wanted.account)
        val isOwner = list.view.ownerOf(partition)?.home == home
        if (isOwner) declinedBy[partition] = home else declinedBy.remove(partition)
        val count = declines.merge(partition, 1, Int::plus)!!
        // Both the owner and the deputy have been asked.
        if (count < 2) return
        silentUntil[partition] = now + SILENCE
        list.recheck()
        log.event(
            "no-decider",
            "account" to wanted.account,
            "partition" to partition,
            "home" to home,
            isExceptional = true,
        )
    }

    private companion object {
        /** A gateway may send 20 messages in any second: the burst and what is gained in it. */
        const val MESSAGES_PER_SECOND = 16.0
        const val MESSAGE_BURST = 4.0

        /** Messages that only requests without credit may use, since asks ahead of need alone could use up all. */
        const val RESERVED_MESSAGES = 2

        val CHECK_INTERVAL = 250.milliseconds
        val URGENT_INTERVAL = 50.milliseconds

        /** Several round trips to the farthest region. */
        val ASK_TIMEOUT = 300.milliseconds
        val MAX_WAIT = 400.milliseconds

        /** Time for which requests are refused at once after neither the owner nor the deputy has decided. */
        val SILENCE = 150.milliseconds
        val ACTIVE_TIME = 5.seconds
        val IDLE_RETENTION = 1.minutes
    }
}
