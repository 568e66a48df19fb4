package sycamore.soak

import sycamore.platform.SampleDocuments
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** A key of the client account [account], which versions of the configuration add and take away. */
internal class AccountKey(
    val account: String,
    val value: String,
) {
    private class State(
        val isHeld: Boolean,
        val since: ComparableTimeMark?,
    )

    @Volatile
    private var state: State? = null

    /** Whether the last version that was written has this key. */
    val isHeld: Boolean get() = state?.isHeld == true

    /** Whether a version with this key may have been written. */
    val isKnown: Boolean get() = state != null

    /**
     * Records that a version adds this key or takes it away.
     *
     * @param since the time at which the store acknowledged that version; null before that.
     */
    fun change(
        isHeld: Boolean,
        since: ComparableTimeMark?,
    ) {
        state = State(isHeld, since)
    }

    /**
     * How much too late a gateway applied the configuration if it accepted a request with this key, sent at [sentAt], or
     * refused it because of the key; null if it was not late. To be called when the request runs or its answer arrives.
     */
    fun lateness(
        sentAt: ComparableTimeMark,
        isAccepted: Boolean,
    ): Duration? {
        val since = state?.takeIf { it.isHeld != isAccepted }?.since ?: return null
        return (sentAt - since - SampleDocuments.applyTime).takeIf { it > Duration.ZERO }
    }
}
