package sycamore.bench.history

import sycamore.model.CallId
import kotlin.time.Duration

/** All events of a run, in the order in which they were recorded. */
internal class History(
    val events: List<Event>,
) {
    val programs: List<ProgramBegan> = of()
    val sent: List<CallSent> = of()
    val answered: List<CallAnswered> = of()
    val refused: List<CallRefused> = of()
    val broke: List<CallBroke> = of()
    val engineStarts: List<EngineStarted> = of()
    val engineEnds: List<EngineFinished> = of()
    val orders: List<OrderRan> = of()

    /** The first attempt of each call. */
    val calls: Map<CallId, CallSent> = sent.reversed().associateBy { it.call }

    /** The program that each tag names. */
    val byTag: Map<Tag, ProgramBegan> = programs.associateBy { it.tag }

    /** When the run ended. */
    val end: Duration = events.lastOrNull()?.at ?: Duration.ZERO

    /** All events of one type. */
    inline fun <reified T : Event> of(): List<T> = events.filterIsInstance<T>()

    /** The faults that were going on at some time between [from] and [to]. */
    fun faultsWithin(
        from: Duration,
        to: Duration,
    ): List<FaultBegan> = of<FaultBegan>().filter { it.at <= to && endOf(it) >= from }

    private fun endOf(fault: FaultBegan): Duration =
        of<FaultEnded>().firstOrNull { it.name == fault.name && it.hosts == fault.hosts && it.at >= fault.at }?.at
            ?: end

    /** The events that concern [call]. */
    fun about(call: CallId): List<Event> = events.filter { callOf(it) == call }

    /** The events that concern the program [tag]. */
    fun about(tag: Tag): List<Event> = events.filter { tagOf(it) == tag }

    private fun tagOf(event: Event): Tag? =
        when (event) {
            is ProgramBegan -> event.tag
            is ProgramOver -> event.tag
            is CacheLeft -> event.tag
            else -> callOf(event)?.let { calls[it]?.tag }
        }

    private fun callOf(event: Event): CallId? =
        when (event) {
            is CallSent -> event.call
            is CallAnswered -> event.call
            is CallRefused -> event.call
            is CallBroke -> event.call
            is EngineStarted -> event.call
            is EngineFinished -> event.call
            is OrderArrived -> event.call
            is OrderRan -> event.call
            else -> null
        }
}

/** A promise that the run broke, and the events that show it. */
internal class Violation(
    val promise: Promise,
    val detail: String,
    val trace: List<Event>,
) {
    override fun toString(): String = "$promise: $detail\n" + trace.joinToString("\n") { "    $it" }
}
