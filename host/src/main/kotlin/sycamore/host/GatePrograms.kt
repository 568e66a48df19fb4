package sycamore.host

import sycamore.decisions.PauseEstimates
import sycamore.decisions.PausedProgram
import sycamore.decisions.Residency
import sycamore.decisions.Retention
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a gate knows of the programs that call its upstream, and of their caches. Guarded by its owner's lock. */
internal class GatePrograms(
    private val memory: () -> Long,
) {
    private class AtGate(
        var running: Int = 0,
        var tokens: Long = 0,
        var pausedSince: Duration? = null,
        var tool: String? = null,
    )

    private val programs = HashMap<String, AtGate>()
    private val runningPrograms = HashSet<String>()
    private var held = HeldTokens(at = -HeldTokens.VALID, tokens = 0)
    private val attained = BoundedMap<String, Duration>(MAX_ROOTS)
    private var pauses = PauseEstimates()

    var residency = Residency()

    /** Tokens that calls in progress hold or will hold. */
    var runningTokens = 0L
        private set

    /** Tokens of all programs that have not ended. */
    var committedTokens = 0L
        private set

    /** Service that [root] and its sub-agents have had. */
    fun attained(root: String): Duration = attained[root] ?: Duration.ZERO

    /** Whether the cache holds most of [call]'s prompt. */
    fun isResident(call: QueuedCall): Boolean = residency.tokensOf(call.program) * 2 >= call.promptTokens

    fun begin(
        call: QueuedCall,
        tokens: Long,
        now: Duration,
    ) {
        val program = programs.getOrPut(call.program) { AtGate() }
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

    /** Notes that the upstream's cache holds [tokens] of [program]. */
    fun cached(
        program: String,
        tokens: Long,
    ) {
        residency = residency.afterCall(program, tokens)
        programs[program]?.let { commit(it, tokens) }
    }

    /** Forgets [program]; returns the tokens that its cache holds. */
    fun end(program: String): Long {
        programs.remove(program)?.let { committedTokens -= it.tokens }
        attained -= program
        return residency.tokensOf(program)
    }

    /**
     * Tokens of idle caches whose programs are expected back within [limit]. The sum is at most [HeldTokens.VALID] old,
     * so that its cost does not grow with the rate of calls.
     */
    fun heldTokens(
        limit: Duration,
        now: Duration,
    ): Long {
        if (now - held.at >= HeldTokens.VALID) {
            held = HeldTokens(now, Retention.heldTokens(paused(except = null), limit, now))
        }
        return minOf(held.tokens, idleTokens())
    }

    /** Chooses idle caches that give way to [call] and forgets them. */
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
        val victims = Retention.victims(paused(call.program), needed + memoryTokens / SPARE, now)
        victims.forEach { residency = residency.afterEviction(it.program) }
        return victims
    }

    /** Tokens that the cache holds for programs without a call in progress. */
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
        program: AtGate,
        tokens: Long,
    ) {
        committedTokens += tokens - program.tokens
        program.tokens = tokens
    }

    private companion object {
        /** One part in this many of the memory is freed beyond what a call needs, so that choosing victims is rare. */
        const val SPARE = 50

        /** Roots may live elsewhere, so that their end is not always heard of. */
        const val MAX_ROOTS = 50_000
    }
}

/** A sum of tokens worth keeping, as of [at]. */
internal class HeldTokens(
    val at: Duration,
    val tokens: Long,
) {
    companion object {
        /** How long a sum is used. */
        val VALID = 50.milliseconds
    }
}

/** A map that forgets the entries read or written longest ago when it grows beyond [limit]. */
internal class BoundedMap<K, V>(
    private val limit: Int,
) : LinkedHashMap<K, V>(INITIAL, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > limit

    private companion object {
        const val INITIAL = 16
        const val LOAD_FACTOR = 0.75f
    }
}
