package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import sycamore.daemon.accounts.AccountClocks
import sycamore.daemon.homes.HomeList
import sycamore.daemon.homes.HomeView
import sycamore.daemon.log.event
import sycamore.decisions.accounts.AccountDecider
import sycamore.decisions.accounts.CreditDecision
import sycamore.decisions.accounts.CreditGrant
import sycamore.decisions.accounts.CreditWish
import sycamore.decisions.accounts.HomesAsSeen
import sycamore.decisions.accounts.LimitClaim
import sycamore.decisions.accounts.Quota
import sycamore.decisions.accounts.QuotaBounds
import sycamore.links.AskCredit
import sycamore.links.ClaimLimits
import sycamore.links.CreditGranted
import sycamore.links.Exchange
import sycamore.links.GrantedCredit
import sycamore.links.LimitsPromised
import sycamore.links.WantedCredit
import sycamore.links.ask
import sycamore.model.CallerName
import sycamore.model.Generation
import sycamore.model.HomeId
import sycamore.services.KeyValue
import sycamore.services.KeyVersion
import sycamore.services.ReadResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Decides about the credit of the accounts in the partitions that the home [self] owns, and claims these partitions from other homes.
 *
 * It sends nothing, and does not call the key-value service, before a gateway asks for credit.
 *
 * @param registration the registration of [self], whose version changes when the home is taken over.
 */
internal class AccountLimitsOwner(
    private val self: HomeId,
    private val homes: HomeList,
    private val keys: KeyValue,
    private val exchange: Exchange,
    bounds: QuotaBounds,
    private val clocks: AccountClocks,
    private val registration: suspend () -> KeyVersion,
) {
    private val lock = Any()
    private val decider = AccountDecider(self, bounds, FENCE)
    private val isAsked = MutableStateFlow(false)
    private var askedAt = Duration.ZERO
    private var isEnded = false

    /** The number of accounts whose credit is kept. */
    val accounts: Int get() = synchronized(lock) { decider.accounts }

    /** Claims the owned partitions, and keeps this home confirmed while gateways ask for credit, until cancelled. */
    suspend fun run() {
        try {
            isAsked.first { it }
            coroutineScope {
                launch { homes.views.collectLatest(::follow) }
                while (true) {
                    if (isConfirmationDue()) confirm()
                    synchronized(lock) { decider.evictIdle(clocks.now()) }
                    delay(CHECK_INTERVAL)
                }
            }
        } finally {
            // Once this home has ended, its daemon answers claims for another one, and this one must not grant any more.
            synchronized(lock) { isEnded = true }
        }
    }

    /** Claims the partitions that this home owns in [view] until it holds them, or another view is needed. */
    private suspend fun follow(view: HomeView) {
        val seen = view.asSeen()
        synchronized(lock) { decider.recordView(seen, clocks.now()) }
        while (true) {
            val before = synchronized(lock) { decider.held }
            val claims = synchronized(lock) { decider.claims(clocks.now()) }
            logHeld(synchronized(lock) { decider.held } - before, seen)
            if (claims.isEmpty()) return
            coroutineScope { claims.forEach { launch { send(it, view) } } }
            delay(CLAIM_INTERVAL)
        }
    }

    private fun HomeView.asSeen() =
        HomesAsSeen(
            revision.value,
            registered.associate { it.home to serves(it.home) }.toImmutableMap(),
            owners.map { owners -> owners.map { it.home } }.toImmutableList(),
        )

    private suspend fun send(
        claim: LimitClaim,
        view: HomeView,
    ) {
        // This home runs only after the former ones of its process and host have ended.
        if (claim.to.host == self.host) return synchronized(lock) { decider.recordReply(claim, self, emptySet()) }
        val address = view.registered.first { it.home == claim.to }.address
        val message = ClaimLimits(claim.to, claim.partitions, claim.revision)
        val reply = exchange.ask(address, message, CLAIM_TIMEOUT) as? LimitsPromised ?: return
        synchronized(lock) { decider.recordReply(claim, reply.home, reply.promised) }
    }

    private fun logHeld(
        partitions: Set<Int>,
        seen: HomesAsSeen,
    ) {
        if (partitions.isEmpty()) return
        log.event("limits-held", "home" to self, "partitions" to partitions.sorted(), "revision" to seen.revision)
    }

    /** Answers a claim for this daemon, whose present home is [self]. */
    fun answerClaim(message: ClaimLimits): LimitsPromised =
        synchronized(lock) {
            val isMine = message.to == self
            LimitsPromised(self, if (isMine) decider.promise(message.partitions, message.revision) else emptySet())
        }

    /** Grants credit to a gateway. */
    suspend fun answer(message: AskCredit): CreditGranted {
        isAsked.value = true
        val isLate =
            synchronized(lock) {
                askedAt = clocks.now().elapsed
                val age = decider.confirmationAge(clocks.now())
                decider.held.isNotEmpty() && (age == null || age >= FENCE)
            }
        if (isLate && message.accounts.isNotEmpty()) confirm()
        return synchronized(lock) {
            CreditGranted(self, message.accounts.mapNotNull(::grant))
        }
    }

    private fun grant(wanted: WantedCredit): GrantedCredit? {
        if (isEnded) return null
        val quota = Quota(wanted.rate, wanted.burst)
        val wish = CreditWish(wanted.waiting, wanted.ahead, wanted.arrived)
        return when (val decision = decider.grant(wanted.account, quota, wanted.generation.value, wish, clocks.now())) {
            is CreditDecision.NotDecider -> null.also { log.debug { decision.reason } }
            is CreditDecision.Decided -> message(wanted.account, decision.grant)
        }
    }

    private fun message(
        account: CallerName,
        grant: CreditGrant,
    ) = GrantedCredit(account, grant.granted, grant.life, grant.retryAfter, Generation(grant.generation))

    private fun isConfirmationDue(): Boolean =
        synchronized(lock) {
            homes.confirmedAt?.takeIf { homes.view.serves(self) }?.let(decider::recordConfirmed)
            val now = clocks.now()
            val isAsked = now.elapsed - askedAt < FENCE
            val age = decider.confirmationAge(now)
            isAsked && decider.held.isNotEmpty() && (age == null || age > FENCE / 2)
        }

    /** Reads the registration of this home, which would have changed if another one had taken it over. */
    private suspend fun confirm() {
        val own = registration()
        val sentAt = clocks.now().elapsed
        val read = keys.get(own.key) as? ReadResult.Found ?: return
        if (read.value?.version == own.version) synchronized(lock) { decider.recordConfirmed(sentAt) }
    }

    companion object {
        /**
         * Time after which a home that has not been confirmed grants nothing, and after which the partitions of a home that was taken
         * over and does not respond get another decider. It outlasts the wait of a watch and short outages of the service.
         */
        val FENCE = 6.seconds
        private val CHECK_INTERVAL = 500.milliseconds
        private val CLAIM_INTERVAL = 50.milliseconds

        /** Several round trips to the farthest region. */
        private val CLAIM_TIMEOUT = 500.milliseconds
    }
}
