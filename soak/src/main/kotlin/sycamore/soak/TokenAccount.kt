package sycamore.soak

import java.util.concurrent.atomic.AtomicLong

/**
 * The tokens of one program that its caller received.
 *
 * @property budget the number of tokens that all turns of the program may generate.
 * @property owner the client account of the program; null if there is none, or that of the caller.
 */
internal class TokenAccount(
    val program: String,
    val budget: Long,
    val owner: String? = null,
) {
    private val spent = AtomicLong()

    /** Counts [events] of a turn. Returns whether the program received more than its budget and one turn. */
    fun isOverspentBy(events: Int): Boolean =
        spent.addAndGet(events * TOKENS_PER_EVENT) > budget + Upstream.MAX_EVENTS * TOKENS_PER_EVENT

    private companion object {
        const val TOKENS_PER_EVENT = 10L
    }
}
