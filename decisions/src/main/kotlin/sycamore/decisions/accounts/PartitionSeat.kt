package sycamore.decisions.accounts

import sycamore.model.HomeId
import kotlin.time.Duration

/**
 * Whether one home decides for the accounts of one partition.
 *
 * At most one home holds a partition: a home becomes its holder only after each other registered home has promised not to become it on
 * grounds of an older revision, has ended, or can no longer grant since it was taken over.
 */
internal class PartitionSeat(
    private val bounds: QuotaBounds,
) {
    private var promised = NO_REVISION

    /** Homes that have promised, or have ended, for the claim of [claimedAt]. */
    private val cleared = HashSet<HomeId>()
    private var claimedAt = NO_REVISION

    /** The credit of the partition's accounts; null unless this home holds the partition. */
    var ledger: CreditLedger? = null
        private set

    /** Begins a claim as of [revision], if it is newer than the one in progress. */
    fun claim(revision: Long) {
        if (revision == claimedAt) return
        claimedAt = revision
        cleared.clear()
    }

    /** Ends the claim in progress, since this home does not own the partition in its present view. */
    fun abandonClaim() {
        claimedAt = NO_REVISION
        cleared.clear()
    }

    /** Records that [home] does not hold the partition and will not as of the claim of [revision]. */
    fun clear(
        home: HomeId,
        revision: Long,
    ) {
        if (revision == claimedAt) cleared += home
    }

    /** Whether [home] has been cleared for the claim in progress. */
    fun isCleared(home: HomeId): Boolean = home in cleared

    /** Whether this home may become the holder as of [revision], since it has promised the partition to no other home as of a newer one. */
    fun mayHold(revision: Long): Boolean = promised < revision

    /** Becomes the holder at [now] if it still may as of the claim in progress. */
    fun hold(now: Duration) {
        if (mayHold(claimedAt)) ledger = CreditLedger(bounds, now)
    }

    /** Promises the partition to another home as of [revision]. Returns false if a newer promise was given. */
    fun promise(revision: Long): Boolean {
        if (revision < promised) return false
        promised = revision
        release()
        return true
    }

    /** Stops to hold the partition. */
    fun release() {
        ledger = null
    }

    private companion object {
        const val NO_REVISION = -1L
    }
}
