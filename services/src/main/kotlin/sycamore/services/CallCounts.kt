package sycamore.services

import kotlinx.collections.immutable.toPersistentMap
import java.util.EnumMap
import java.util.concurrent.atomic.LongAdder

/** Kinds of calls to the key-value service. */
enum class CallKind {
    GET,
    LIST,
    WATCH,
    PUT,
    DELETE,
}

/** How calls to the key-value service end. */
enum class CallOutcome {
    /** The service answered. */
    ANSWERED,

    /** A write met another version. */
    CONFLICT,

    /** This process's own limit held the call back, or the service refused it. */
    NOT_SENT,

    /** No answer came. */
    NO_ANSWER,
}

/** Counts the calls of this process to the key-value service. */
class CallCounts {
    private val counts =
        CallKind.entries.associateWithTo(EnumMap(CallKind::class.java)) {
            CallOutcome.entries.associateWithTo(EnumMap(CallOutcome::class.java)) { LongAdder() }
        }

    /** Calls of [kind] that ended with [outcome]. */
    fun of(
        kind: CallKind,
        outcome: CallOutcome,
    ): Long = counts.getValue(kind).getValue(outcome).sum()

    /** All calls of [kind] that left this process. */
    fun of(kind: CallKind): Long = (CallOutcome.entries - CallOutcome.NOT_SENT).sumOf { of(kind, it) }

    /** All calls that left this process, by kind. */
    fun byKind(): Map<CallKind, Long> = CallKind.entries.associateWith(::of).toPersistentMap()

    /** All calls that left this process. */
    val total: Long get() = CallKind.entries.sumOf(::of)

    internal fun count(
        kind: CallKind,
        outcome: CallOutcome,
    ) = counts.getValue(kind).getValue(outcome).increment()
}
