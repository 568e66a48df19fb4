package sycamore.bench.history

import sycamore.model.CallId
import kotlin.time.Duration

/** All events of a run, in the order in which they were recorded. */
internal class History(
    val events: List<Event>,
) {
    val programs: List<ProgramBegan> = eventsOfType()
    val sent: List<CallSent> = eventsOfType()
    val answered: List<CallAnswered> = eventsOfType()
    val refused: List<CallRefused> = eventsOfType()
    val interrupted: List<CallBroke> = eventsOfType()
    val engineStarts: List<EngineStarted> = eventsOfType()
    val engineEnds: List<EngineFinished> = eventsOfType()
    val orders: List<OrderRan> = eventsOfType()

    /** The first attempt of each call. */
    val firstAttempts: Map<CallId, CallSent> = sent.reversed().associateBy { it.call }

    /** The programs by their tags. */
    val programsByTag: Map<Tag, ProgramBegan> = programs.associateBy { it.tag }

    /** The time of the last event. */
    val end: Duration = events.lastOrNull()?.at ?: Duration.ZERO

    /** All events of type [T]. */
    inline fun <reified T : Event> eventsOfType(): List<T> = events.filterIsInstance<T>()

    /** The faults that were active at some time between [from] and [to]. */
    fun faultsWithin(
        from: Duration,
        to: Duration,
    ): List<FaultBegan> = eventsOfType<FaultBegan>().filter { it.at <= to && endOf(it) >= from }

    private fun endOf(fault: FaultBegan): Duration =
        eventsOfType<FaultEnded>()
            .firstOrNull { it.name == fault.name && it.hosts == fault.hosts && it.at >= fault.at }
            ?.at ?: end

    /** The events that concern [call]. */
    fun eventsOf(call: CallId): List<Event> = events.filter { callOf(it) == call }

    /** The events that concern the program [tag]. */
    fun eventsOf(tag: Tag): List<Event> = events.filter { tagOf(it) == tag }

    private fun tagOf(event: Event): Tag? =
        when (event) {
            is ProgramBegan -> event.tag
            is ProgramOver -> event.tag
            is CacheLeft -> event.tag
            else -> callOf(event)?.let { firstAttempts[it]?.tag }
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

/** A violation of an invariant in a run, with the events that show it. */
internal class Violation(
    val invariant: Invariant,
    val detail: String,
    val trace: List<Event>,
) {
    override fun toString(): String = "$invariant: $detail\n" + trace.joinToString("\n") { "    $it" }
}
