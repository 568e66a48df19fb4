package sycamore.programs

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import sycamore.model.Budget
import sycamore.model.CallId
import kotlin.time.Duration

/** The limits of a budget. */
@Serializable
enum class BudgetLimit(
    val text: String,
) {
    /** Tokens of prompts and answers. */
    TOKENS("tokens"),

    /** Calls that ran or may run. */
    CALLS("calls"),

    /** Time since the root program began. */
    ELAPSED("elapsed time"),

    /** The program has ended, so nothing is left. */
    ENDED("the program's life"),
}

/** What became of an attempt to reserve part of a budget. */
sealed interface Reservation {
    /** [tokens] are held: the prompt's and what is left for the answer. */
    data class Granted(
        val tokens: Long,
    ) : Reservation

    /** Nothing was held, since [limit] is reached. */
    data class Exhausted(
        val limit: BudgetLimit,
    ) : Reservation
}

/**
 * What a root program and its sub-agents have spent and reserved. Reservations are idempotent by call id.
 *
 * @property reserved tokens held for calls whose outcome is not known yet.
 * @property settled tokens spent by calls that ended.
 * @property spent the sum of [settled].
 */
data class Account(
    val reserved: PersistentMap<CallId, Long> = persistentMapOf(),
    val settled: PersistentMap<CallId, Long> = persistentMapOf(),
    val spent: Long = 0,
    val held: Long = 0,
) {
    /** Calls that ran or may run. */
    val calls: Int get() = reserved.size + settled.size

    /** Tokens that are neither spent nor held. */
    fun left(budget: Budget): Long = budget.tokens - spent - held

    /**
     * Tries to hold [prompt] tokens and up to [answer] more for [call], [elapsed] after the root program began.
     *
     * @param again whether the call runs again and what it holds already is lost; a repeat gets what is held otherwise.
     */
    fun reserve(
        budget: Budget,
        call: CallId,
        prompt: Long,
        answer: Long,
        elapsed: Duration,
        again: Boolean = false,
    ): Reservation {
        val known = reserved[call] ?: settled[call]
        if (known != null && !again) return Reservation.Granted(known)
        if (elapsed >= budget.elapsed) return Reservation.Exhausted(BudgetLimit.ELAPSED)
        if (known == null && calls >= budget.calls) return Reservation.Exhausted(BudgetLimit.CALLS)
        val needed = if (answer > 0) prompt + 1 else prompt
        if (needed > left(budget)) return Reservation.Exhausted(BudgetLimit.TOKENS)
        return Reservation.Granted((reserved[call] ?: 0) + minOf(prompt + answer, left(budget)))
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
