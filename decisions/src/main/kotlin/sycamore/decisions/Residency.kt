package sycamore.decisions

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap

/** A numbered event of an upstream's cache: [program] now holds [tokens] tokens in it. */
data class ResidencyEvent(
    val number: Long,
    val program: String,
    val tokens: Long,
)

/**
 * Content of an upstream's cache, as known from its events, which arrive with a delay.
 *
 * @property programs tokens in the cache by program.
 * @property total number of tokens of all programs together.
 * @property last number of the last event that was applied.
 * @property needsListing whether an event is missing, so that only a listing shows what the cache holds.
 */
data class Residency(
    val programs: PersistentMap<String, Long> = persistentHashMapOf(),
    val total: Long = 0,
    val last: Long = 0,
    val needsListing: Boolean = true,
) {
    /** Number of tokens of [program] in the cache. */
    fun tokensOf(program: String): Long = programs[program] ?: 0

    /**
     * The state after [events], which are in the order of their numbers. Events that were applied before are skipped.
     */
    fun after(events: List<ResidencyEvent>): Residency = events.fold(this) { state, event -> state.after(event) }

    private fun after(event: ResidencyEvent): Residency {
        if (event.number <= last) return this
        return with(event.program, event.tokens).copy(
            last = event.number,
            needsListing = needsListing || event.number > last + 1,
        )
    }

    /** The state after a complete listing as of event [number]. A listing older than the known state is ignored. */
    fun afterListing(
        number: Long,
        listing: Map<String, Long>,
    ): Residency =
        if (number < last) {
            this
        } else {
            Residency(listing.toPersistentHashMap(), listing.values.sum(), number, needsListing = false)
        }

    /** The state after a call of [program] that left [tokens] tokens in the cache, before its event arrives. */
    fun afterCall(
        program: String,
        tokens: Long,
    ): Residency = with(program, tokens)

    /** The state after an acknowledged eviction of [program]. */
    fun afterEviction(program: String): Residency = with(program, 0)

    private fun with(
        program: String,
        tokens: Long,
    ): Residency {
        val changed = if (tokens == 0L) programs.remove(program) else programs.put(program, tokens)
        return copy(programs = changed, total = total - tokensOf(program) + tokens)
    }
}
