package sycamore.host

import sycamore.decisions.PauseEstimates
import sycamore.decisions.PausedProgram
import sycamore.decisions.Residency
import sycamore.decisions.Retention
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The state of the programs that call a gate's upstream, and of their caches. Guarded by the lock of its owner. */
internal class GatePrograms(
    private val memory: () -> Long,
) {
    private class ProgramEntry(
        var running: Int = 0,
        var tokens: Long = 0,
        var pausedSince: Duration? = null,
        var tool: String? = null,
    )

    private val programs = HashMap<String, ProgramEntry>()
    private val runningPrograms = HashSet<String>()
    private var held = HeldTokens(computedAt = -HeldTokens.MAX_AGE, tokens = 0)
    private val attained = LruMap<String, Duration>(MAX_ROOTS)
    private var pauses = PauseEstimates()

    var residency = Residency()

    /** The tokens of memory that calls in progress occupy or will occupy. */
    var runningTokens = 0L
        private set

    /** The tokens of all programs that have not ended. */
    var committedTokens = 0L
        private set

    /** Returns the service time that [root] and its sub-agents have received from the upstream. */
    fun attained(root: String): Duration = attained[root] ?: Duration.ZERO

    /** Whether the cache holds at least half of [call]'s prompt. */
    fun isResident(call: QueuedCall): Boolean = residency.tokensOf(call.program) * 2 >= call.promptTokens

    fun begin(
        call: QueuedCall,
        tokens: Long,
        now: Duration,
    ) {
        val program = programs.getOrPut(call.program) { ProgramEntry() }
        program.pausedSince?.let { pauses = pauses.observed(program.tool, now - it) }
        program.pausedSince = null
        program.running++
        runningPrograms += call.program
        runningTokens += tokens
        commit(program, tokens)
    }

    fun finish(
        call: QueuedCall,
        tokens: Long,
        work: Duration,
        tool: String?,
        now: Duration,
    ) {
        runningTokens -= tokens
        attained[call.root] = attained(call.root) + work
        val program = programs[call.program]
        if (program == null || --program.running == 0) runningPrograms -= call.program
        if (program == null) return
        program.tool = tool
        if (program.running == 0) program.pausedSince = now
    }

    /** Records that the upstream's cache holds [tokens] of [program]. */
    fun cached(
        program: String,
        tokens: Long,
    ) {
        residency = residency.afterCall(program, tokens)
        programs[program]?.let { commit(it, tokens) }
    }

    /** Removes [program] and returns the tokens that its cache holds. */
    fun end(program: String): Long {
        programs.remove(program)?.let { committedTokens -= it.tokens }
        attained -= program
        return residency.tokensOf(program)
    }

    /**
     * Returns the tokens of idle caches whose programs are expected to call again within [limit]. The sum is recomputed
     * only when it is older than [HeldTokens.MAX_AGE], so that its cost does not grow with the rate of calls.
     */
    fun heldTokens(
        limit: Duration,
        now: Duration,
    ): Long {
        if (now - held.computedAt >= HeldTokens.MAX_AGE) {
            held = HeldTokens(now, Retention.heldTokens(paused(except = null), limit, now))
        }
        return minOf(held.tokens, idleTokens())
    }

    /** Chooses the idle caches to evict so that [call] fits into memory, and removes them from [residency]. */
    fun makeRoomFor(
        call: QueuedCall,
        tokens: Long,
        now: Duration,
    ): List<PausedProgram> {
        val memoryTokens = memory()
        if (memoryTokens == 0L) return emptyList()
        val idle = idleTokens()
        val missing = tokens - residency.tokensOf(call.program)
        val needed = idle + runningTokens + missing - memoryTokens
        if (needed <= 0) return emptyList()
        val victims = Retention.victims(paused(call.program), needed + memoryTokens / SPARE_DIVISOR, now)
        victims.forEach { residency = residency.afterEviction(it.program) }
        return victims
    }

    /** Returns the tokens that the cache holds for programs without a call in progress. */
    fun idleTokens(): Long = residency.total - runningPrograms.sumOf { residency.tokensOf(it) }

    private fun paused(except: String?): List<PausedProgram> =
        residency.programs.entries.mapNotNull { (name, tokens) ->
            val program = programs[name]
            val isIdle = name != except && (program == null || program.running == 0)
            if (!isIdle) return@mapNotNull null
            val since = program?.pausedSince ?: Duration.ZERO
            PausedProgram(name, tokens, pauses.expected(program?.tool), since)
        }

    private fun commit(
        program: ProgramEntry,
        tokens: Long,
    ) {
        committedTokens += tokens - program.tokens
        program.tokens = tokens
    }

    private companion object {
        /** Beyond what a call needs, 1/50 of the memory is freed, so that caches to evict are chosen less often. */
        const val SPARE_DIVISOR = 50

        /**
         * The limit of roots whose attained service is stored. A root may have its home elsewhere, so that its end is
         * not always reported here.
         */
        const val MAX_ROOTS = 50_000
    }
}

/** A sum of cached tokens that are worth keeping, computed at [computedAt]. */
internal class HeldTokens(
    val computedAt: Duration,
    val tokens: Long,
) {
    companion object {
        /** The age at which a sum is recomputed. */
        val MAX_AGE = 50.milliseconds
    }
}

/** A map of at most [limit] entries that evicts the least recently used one. */
internal class LruMap<K, V>(
    private val limit: Int,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > limit

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
