package sycamore.decisions

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Expected length of the pauses of programs that call a tool, as a moving average per tool. */
data class PauseEstimates(
    private val byTool: PersistentMap<String, Duration> = persistentHashMapOf(),
) {
    /** The expected pause for a call of [tool]; null stands for a pause without a tool call. */
    fun expected(tool: String?): Duration = byTool[tool.orEmpty()] ?: DEFAULT

    /** The estimates after a pause of [pause] for [tool]. */
    fun observed(
        tool: String?,
        pause: Duration,
    ): PauseEstimates {
        val key = tool.orEmpty()
        if (key !in byTool && byTool.size >= MAX_TOOLS) return this
        val before = byTool[key] ?: pause
        return PauseEstimates(byTool.put(key, before + (pause - before) * SAMPLE_WEIGHT))
    }

    companion object {
        /** The expected pause for a tool without observed pauses. */
        val DEFAULT = 5.seconds

        /** Weight of one pause in the moving average of its tool. */
        private const val SAMPLE_WEIGHT = 0.1

        /** Maximum number of tools with estimates. Pauses of other tools are expected to last for [DEFAULT]. */
        private const val MAX_TOOLS = 1_000
    }
}

/**
 * A program whose cache is idle.
 *
 * @property tokens number of tokens in its cache.
 * @property expected the expected length of its pause.
 * @property since start of its pause, by the gate's clock.
 */
data class PausedProgram(
    val program: String,
    val tokens: Long,
    val expected: Duration,
    val since: Duration,
) {
    /**
     * Expected time until the program's next call. Pauses are heavy-tailed: a pause that has exceeded its expected
     * length is expected to last about as long again.
     */
    fun remaining(now: Duration): Duration {
        val elapsed = now - since
        return maxOf(expected - elapsed, elapsed)
    }
}

/** Rules for which idle caches are evicted when a call needs memory. */
object Retention {
    /**
     * Longest expected remaining pause for which the cache of a program is kept. Keeping a token for a period occupies
     * its share of the memory for that period, and saves the time to compute the token. Both are worth the same when
     * all tokens of the memory could be computed in that period. While the upstream has time to spare, computing costs
     * less, and the limit is lower.
     *
     * @param waited time for which a call without a cached prompt has been waiting for memory; the limit falls to zero
     *     over [MAX_MEMORY_WAIT].
     */
    fun holdLimit(
        prefillPerToken: Duration,
        memoryTokens: Long,
        running: Int,
        capacity: Int,
        waited: Duration,
    ): Duration {
        val use = (running / (capacity * FULL_LOAD_SHARE)).coerceAtMost(1.0)
        val remainingShare = (1.0 - waited / MAX_MEMORY_WAIT).coerceAtLeast(0.0)
        return prefillPerToken * (memoryTokens * use * remainingShare)
    }

    /** Number of tokens of those [paused] programs whose next call is expected within [limit]. */
    fun heldTokens(
        paused: Collection<PausedProgram>,
        limit: Duration,
        now: Duration,
    ): Long = paused.sumOf { if (it.remaining(now) < limit) it.tokens else 0L }

    /**
     * The programs to evict at [now] to free [needed] tokens, beginning with those that are expected back last. Keeping
     * a token saves the same prefill for every program, and costs memory for as long as its program is paused.
     */
    fun victims(
        paused: Collection<PausedProgram>,
        needed: Long,
        now: Duration,
    ): List<PausedProgram> {
        if (needed <= 0) return emptyList()
        var freed = 0L
        return paused
            .sortedByDescending { it.remaining(now) }
            .takeWhile { program -> (freed < needed).also { freed += program.tokens } }
    }

    /** Share of an upstream's capacity in use from which it has no time to spare. */
    private const val FULL_LOAD_SHARE = 0.25

    /** Time for which a call without a cached prompt waits for memory before it may take that of any paused program. */
    val MAX_MEMORY_WAIT = 60.seconds
}
