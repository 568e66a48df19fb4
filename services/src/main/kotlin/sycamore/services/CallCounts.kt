package sycamore.services

import kotlinx.collections.immutable.toPersistentMap
import java.util.EnumMap
import java.util.concurrent.atomic.LongAdder

/** The kinds of calls to the key-value service. */
enum class CallKind {
    GET,
    LIST,
    WATCH,
    PUT,
    DELETE,
}

/** The outcomes of calls to the key-value service. */
enum class CallOutcome {
    /** The service answered, and a write took effect. */
    ANSWERED,

    /** A write had no effect, since the key was at another version. */
    CONFLICT,

    /** The call was not sent because of the rate limit of this process, or the service refused it. */
    NOT_SENT,

    /** No answer was received. */
    NO_ANSWER,
}

/** Counts the calls of this process to the key-value service. */
class CallCounts {
    private val counts =
        CallKind.entries.associateWithTo(EnumMap(CallKind::class.java)) {
            CallOutcome.entries.associateWithTo(EnumMap(CallOutcome::class.java)) { LongAdder() }
        }

    /** The number of calls of [kind] that ended with [outcome]. */
    fun count(
        kind: CallKind,
        outcome: CallOutcome,
    ): Long = counts.getValue(kind).getValue(outcome).sum()

    /** The number of calls of [kind] that were sent. */
    fun count(kind: CallKind): Long = (CallOutcome.entries - CallOutcome.NOT_SENT).sumOf { count(kind, it) }

    /** The number of calls that were sent, by kind. */
    fun byKind(): Map<CallKind, Long> = CallKind.entries.associateWith(::count).toPersistentMap()

    /** The number of calls that were sent. */
    val total: Long get() = CallKind.entries.sumOf(::count)

    internal fun record(
        kind: CallKind,
        outcome: CallOutcome,
    ) = counts.getValue(kind).getValue(outcome).increment()
}
