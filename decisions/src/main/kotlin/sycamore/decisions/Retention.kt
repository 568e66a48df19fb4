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
}
