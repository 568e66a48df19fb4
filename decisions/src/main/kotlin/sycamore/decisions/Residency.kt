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
 * @property total tokens of all programs together.
 * @property last number of the last event that was taken in.
 * @property needsListing whether an event is missing, so that only a listing can tell what the cache holds.
 */
data class Residency(
    val programs: PersistentMap<String, Long> = persistentHashMapOf(),
    val total: Long = 0,
    val last: Long = 0,
    val needsListing: Boolean = true,
) {
    /** Tokens of [program] in the cache. */
    fun tokensOf(program: String): Long = programs[program] ?: 0

    /** The state after [events], in order of their numbers. Events that were taken in before are passed over. */
    fun after(events: List<ResidencyEvent>): Residency = events.fold(this) { state, event -> state.after(event) }

    private fun after(event: ResidencyEvent): Residency {
        if (event.number <= last) return this
        return with(event.program, event.tokens).copy(
            last = event.number,
            needsListing = needsListing || event.number > last + 1,
        )
    }

    /** The state after a whole listing that stands at event [number]. An older listing than what is known is ignored. */
    fun listed(
        number: Long,
        listing: Map<String, Long>,
    ): Residency =
        if (number < last) {
            this
        } else {
            Residency(listing.toPersistentHashMap(), listing.values.sum(), number, needsListing = false)
        }

    /** The state after a call of [program] that left [tokens] behind, ahead of its event. */
    fun used(
        program: String,
        tokens: Long,
    ): Residency = with(program, tokens)

    /** The state after an acknowledged eviction of [program]. */
    fun evicted(program: String): Residency = with(program, 0)

    private fun with(
        program: String,
        tokens: Long,
    ): Residency {
        val changed = if (tokens == 0L) programs.remove(program) else programs.put(program, tokens)
        return copy(programs = changed, total = total - tokensOf(program) + tokens)
    }
}
