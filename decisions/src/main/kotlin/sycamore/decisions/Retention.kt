package sycamore.decisions

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Expected length of tool pauses, learnt per tool as moving averages. */
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
        return PauseEstimates(byTool.put(key, before + (pause - before) * SHARE))
    }

    companion object {
        /** The expected pause of a tool that was not met before. */
        val DEFAULT = 5.seconds

        private const val SHARE = 0.1
        private const val MAX_TOOLS = 1_000
    }
}

/**
 * A program whose cache is idle.
 *
 * @property tokens that it holds.
 * @property expected length of its pause.
 * @property since when it has been paused, by the gate's clock.
 */
data class PausedProgram(
    val program: String,
    val tokens: Long,
    val expected: Duration,
    val since: Duration,
) {
    /**
     * Expected time until the program comes back. Pauses are heavy-tailed: one that outlasts its expectation lasts about
     * as long again.
     */
    fun remaining(now: Duration): Duration {
        val elapsed = now - since
        return maxOf(expected - elapsed, elapsed)
    }
}

/** Which idle caches give way to a call that needs memory. */
object Retention {
    /**
     * How long a cache is kept for a program that is expected back. Keeping a token for a time occupies its share of the
     * memory, and saves the time to compute it. The two are worth the same when all of the memory's tokens could be
     * computed in that time. While the upstream has time to spare, computing costs less, and the limit is lower.
     *
     * @param waited how long a cold call has been waiting for memory; the limit falls to zero over [PATIENCE].
     */
    fun holdLimit(
        prefillPerToken: Duration,
        memoryTokens: Long,
        running: Int,
        capacity: Int,
        waited: Duration,
    ): Duration {
        val use = (running / (capacity * FULL_SHARE)).coerceAtMost(1.0)
        val patience = (1.0 - waited / PATIENCE).coerceAtLeast(0.0)
        return prefillPerToken * (memoryTokens * use * patience)
    }

    /** Tokens of [paused] programs that are expected back within [limit]. */
    fun heldTokens(
        paused: Collection<PausedProgram>,
        limit: Duration,
        now: Duration,
    ): Long = paused.sumOf { if (it.remaining(now) < limit) it.tokens else 0L }

    /**
     * The programs to evict at [now] so that [needed] tokens become free, longest expected return first. Keeping a token
     * saves the same prefill whatever program it belongs to, and costs memory for as long as the program stays away.
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

    /** Share of its capacity at which an upstream has no time to spare. */
    private const val FULL_SHARE = 0.25

    /** How long a cold call waits for memory before it takes that of any paused program. */
    val PATIENCE = 60.seconds
}
