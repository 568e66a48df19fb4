package sycamore.decisions

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap

/** A numbered cache event: [program] holds [tokens] now. */
data class ResidencyEvent(
    val number: Long,
    val program: String,
    val tokens: Long,
)

/**
 * What an upstream's cache holds, as far as its late events tell.
 *
 * @property last number of the last event that was taken in.
 * @property needsListing whether an event is missing, so that only a listing can tell what the cache holds.
 */
data class Residency(
    val programs: PersistentMap<String, Long> = persistentHashMapOf(),
    val last: Long = 0,
    val needsListing: Boolean = true,
) {
    /** Tokens of [program] in the cache. */
    fun tokensOf(program: String): Long = programs[program] ?: 0

    /** The state after [events], in order of their numbers. Events that were taken in before are passed over. */
    fun after(events: List<ResidencyEvent>): Residency = events.fold(this) { state, event -> state.after(event) }

    private fun after(event: ResidencyEvent): Residency {
        if (event.number <= last) return this
        val changed =
            if (event.tokens ==
                0L
            ) {
                programs.remove(event.program)
            } else {
                programs.put(event.program, event.tokens)
            }
        return Residency(changed, event.number, needsListing || event.number > last + 1)
    }

    /** The state after a whole listing that stands at event [number]. An older listing than what is known is ignored. */
    fun listed(
        number: Long,
        listing: Map<String, Long>,
    ): Residency = if (number < last) this else Residency(listing.toPersistentHashMap(), number, needsListing = false)

    /** The state after a call of [program] that left [tokens] behind, ahead of its event. */
    fun used(
        program: String,
        tokens: Long,
    ): Residency = copy(programs = programs.put(program, tokens))

    /** The state after an acknowledged eviction of [program]. */
    fun evicted(program: String): Residency = copy(programs = programs.remove(program))
}
