package sycamore.decisions.accounts

import sycamore.decisions.programs.ProgramPartitions
import sycamore.model.CallerName
import sycamore.model.HomeId
import kotlin.time.Duration

/** The reply of a decider to a gateway that asks for credit. */
sealed interface CreditDecision {
    /** The decider has decided. */
    data class Decided(
        val grant: CreditGrant,
    ) : CreditDecision

    /** This home does not decide for the account at present. */
    data class NotDecider(
        val reason: String,
    ) : CreditDecision
}

/**
 * Decides at the home [self] about the credit of the accounts in its partitions.
 *
 * A home grants while it holds the partition and the key-value service has confirmed within [fence] that it has not been taken over. So
 * a home that was taken over and cannot be reached has stopped once [fence] has passed since another one saw that.
 */
class AccountDecider(
    private val self: HomeId,
    bounds: QuotaBounds,
    private val fence: Duration,
) {
    private val seats = List(ProgramPartitions.COUNT) { PartitionSeat(bounds) }
    private var view: HomesAsSeen? = null
    private var confirmedAt: Duration? = null

    /** When this home first saw that another one was taken over, on the steady clock. */
    private val takenOverSeenAt = HashMap<HomeId, Duration>()

    /** The number of accounts that are kept. */
    val accounts: Int get() = seats.sumOf { it.ledger?.size ?: 0 }

    /** Partitions that this home holds. */
    val held: Set<Int> get() = seats.indices.filterTo(HashSet()) { seats[it].ledger != null }

    /**
     * Records that the key-value service has answered a call which was sent at [sentAt] on the elapsed clock, and that this home had not
     * been taken over then.
     */
    fun recordConfirmed(sentAt: Duration) {
        confirmedAt = maxOf(sentAt, confirmedAt ?: sentAt)
    }

    /** Time since the key-value service has confirmed that this home had not been taken over; null before the first time. */
    fun confirmationAge(now: AccountTime): Duration? = confirmedAt?.let { now.elapsed - it }

    /** Records the registered homes. */
    fun recordView(
        seen: HomesAsSeen,
        now: AccountTime,
    ) {
        if (seen === view) return
        view = seen
        seen.isServing.forEach { (home, serves) -> if (!serves) takenOverSeenAt.getOrPut(home) { now.steady } }
        seats.forEachIndexed { partition, seat ->
            when {
                seen.isServing[self] != true -> {
                    seat.release()
                    seat.abandonClaim()
                }
                !owns(partition, seen) -> seat.abandonClaim()
                seat.ledger == null -> seat.claim(seen.revision)
            }
        }
    }

    /** Claims to send now. Holds the partitions for which no claim is left. */
    fun claims(now: AccountTime): List<LimitClaim> {
        val seen = view ?: return emptyList()
        if (seen.isServing[self] != true) return emptyList()
        val targets = HashMap<HomeId, MutableSet<Int>>()
        for ((partition, seat) in seats.withIndex()) {
            if (seat.ledger != null || !owns(partition, seen) || !seat.mayHold(seen.revision)) continue
            // A promise may have ended the holding without a new view.
            seat.claim(seen.revision)
            val open = seen.isServing.keys.filter { it != self && !seat.isCleared(it) && !isFenced(it, now) }
            if (open.isEmpty()) seat.hold(now.steady)
            // The deputy is likely to hold the partition, and continues to grant until all others are cleared.
            val deputy = seen.owners[partition].deputy
            val next = open.filter { it != deputy }.ifEmpty { open }
            next.forEach { targets.getOrPut(it, ::HashSet) += partition }
        }
        return targets.map { (home, partitions) -> LimitClaim(home, partitions, seen.revision) }
    }

    /**
     * Records the reply to [claim] of the daemon on the claimed home's host: its present home is [home] and has promised the partitions
     * [promised]. A claimed home that the daemon no longer runs grants nothing any more.
     */
    fun recordReply(
        claim: LimitClaim,
        home: HomeId,
        promised: Set<Int>,
    ) {
        val hasEnded = home != claim.to && home.host == claim.to.host
        val cleared = if (hasEnded) claim.partitions else promised.takeIf { home == claim.to }.orEmpty()
        cleared.forEach { seats[it].clear(claim.to, claim.revision) }
    }

    /** Answers a claim of another home: returns the partitions that this home promises. */
    fun promise(
        partitions: Set<Int>,
        revision: Long,
    ): Set<Int> {
        val seen = view
        return partitions.filterTo(HashSet()) { partition ->
            val isOwner = seen != null && seen.revision >= revision && owns(partition, seen)
            partition in seats.indices && !isOwner && seats[partition].promise(revision)
        }
    }

    /** Decides what a gateway gets for the account [name], whose limit is [quota] in the configuration [generation]. */
    fun grant(
        name: CallerName,
        quota: Quota,
        generation: Long,
        wish: CreditWish,
        now: AccountTime,
    ): CreditDecision {
        val ledger =
            seats[ProgramPartitions.partitionOf(name.value)].ledger
                ?: return CreditDecision.NotDecider("$self does not decide for $name")
        val age = confirmationAge(now)
        return if (age == null || age >= fence) {
            CreditDecision.NotDecider("$self has not been confirmed for ${age ?: "any time"}")
        } else {
            CreditDecision.Decided(ledger.grant(name, quota, generation, wish, now.steady))
        }
    }

    /** Drops accounts that have been idle for long. */
    fun evictIdle(now: AccountTime) {
        seats.forEach { it.ledger?.evictIdle(now.steady) }
    }

    private fun owns(
        partition: Int,
        seen: HomesAsSeen,
    ): Boolean = seen.owners.getOrNull(partition)?.owner == self

    private fun isFenced(
        home: HomeId,
        now: AccountTime,
    ): Boolean = takenOverSeenAt[home]?.let { now.steady - it >= fence } == true
}
