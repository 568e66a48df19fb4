package sycamore.programs

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import sycamore.model.Budget
import sycamore.model.CallId
import kotlin.time.Duration

/** The limits of a program's budget. */
@Serializable
enum class BudgetLimit(
    val text: String,
) {
    /** Tokens of prompts and answers. */
    TOKENS("tokens"),

    /** Calls that ran or may still run. */
    CALLS("calls"),

    /** Time since the root program started. */
    ELAPSED("elapsed time"),

    /** The program has ended, so nothing more can be reserved. */
    ENDED("the program's life"),
}

/** The result of an attempt to reserve part of a budget. */
sealed interface Reservation {
    /** [tokens] are reserved: those of the prompt and those available for the answer. */
    data class Granted(
        val tokens: Long,
    ) : Reservation

    /** Nothing was reserved, because [limit] is reached. */
    data class Exhausted(
        val limit: BudgetLimit,
    ) : Reservation
}

/**
 * The tokens that a root program and its sub-agents have spent and reserved. Reservations are idempotent by call id.
 *
 * @property reserved the tokens reserved for each call whose outcome is not known yet.
 * @property settled the tokens spent by each call that has ended.
 * @property spent the sum of [settled].
 * @property held the sum of [reserved].
 */
data class Account(
    val reserved: PersistentMap<CallId, Long> = persistentMapOf(),
    val settled: PersistentMap<CallId, Long> = persistentMapOf(),
    val spent: Long = 0,
    val held: Long = 0,
) {
    /** The number of calls that ran or may still run. */
    val calls: Int get() = reserved.size + settled.size

    /** The tokens of [budget] that are neither spent nor reserved. */
    fun remainingTokens(budget: Budget): Long = budget.tokens - spent - held

    /**
     * Computes the reservation of [prompt] tokens and up to [answer] more for [call], [elapsed] after the root program
     * started. The caller records a granted reservation as a [BudgetReserved].
     *
     * @param again whether the call runs again, so that the tokens reserved for its earlier attempt stay reserved and
     * new ones are added. Otherwise a repeated request returns the existing reservation.
     */
    fun reserve(
        budget: Budget,
        call: CallId,
        prompt: Long,
        answer: Long,
        elapsed: Duration,
        again: Boolean = false,
    ): Reservation {
        val existing = reserved[call] ?: settled[call]
        if (existing != null && !again) return Reservation.Granted(existing)
        if (elapsed >= budget.elapsed) return Reservation.Exhausted(BudgetLimit.ELAPSED)
        if (existing == null && calls >= budget.calls) return Reservation.Exhausted(BudgetLimit.CALLS)
        val minimum = if (answer > 0) prompt + 1 else prompt
        if (minimum > remainingTokens(budget)) return Reservation.Exhausted(BudgetLimit.TOKENS)
        return Reservation.Granted((reserved[call] ?: 0) + minOf(prompt + answer, remainingTokens(budget)))
    }

    internal fun apply(record: BudgetReserved): Account {
        val before = reserved[record.call] ?: 0
        return copy(reserved = reserved.put(record.call, record.tokens), held = held - before + record.tokens)
    }

    internal fun apply(record: BudgetSettled): Account {
        val before = settled[record.call] ?: 0
        val released = copy(reserved = reserved.remove(record.call), held = held - (reserved[record.call] ?: 0))
        if (!record.counted) return released.copy(settled = settled.remove(record.call), spent = spent - before)
        return released.copy(settled = settled.put(record.call, record.tokens), spent = spent - before + record.tokens)
    }
}
