package sycamore.host

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.Peers
import sycamore.links.Done
import sycamore.links.EvictProgram
import sycamore.links.Message
import sycamore.model.Configuration
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.programs.CacheEvicted
import sycamore.programs.ProgramState
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Evicts the caches of ended programs from every engine that may hold one, until each engine has acknowledged it. */
internal class Evictions(
    private val journal: Journal,
    private val peers: Peers,
    private val self: HostName,
    private val evictHere: suspend (EvictProgram) -> Message,
    private val configuration: () -> Configuration?,
    private val clock: Clock,
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Starts the next pass at once. Called when a program has ended. */
    fun wake() {
        wake.trySend(Unit)
    }

    /** Evicts the caches of ended programs until cancelled: periodically, and whenever [wake] is called. */
    suspend fun run() {
        while (true) {
            withTimeoutOrNull(PASS_INTERVAL) { wake.receive() }
            val ended = journal.table.all.filter { it.ended != null && it.unresolved.isEmpty() }
            coroutineScope { ended.map { async { evict(it) } }.awaitAll() }
        }
    }

    private suspend fun evict(state: ProgramState) {
        if (isRunning(state.id)) return
        coroutineScope {
            state.residents.keys
                .map { host -> async { evict(state.id, host) } }
                .awaitAll()
        }
        removeIfEvicted(state.id)
    }

    private fun isRunning(program: ProgramId): Boolean = journal.table.update(program) { it.running != null } ?: true

    private suspend fun evict(
        program: ProgramId,
        host: HostName,
    ) {
        if (hasNoUpstream(host) || requestEviction(program, host) is Done) journal.record(CacheEvicted(program, host))
    }

    private suspend fun requestEviction(
        program: ProgramId,
        host: HostName,
    ): Message? =
        if (host == self) evictHere(EvictProgram(program)) else peers.request(host, EvictProgram(program), TIMEOUT)

    /** Whether [host] has no upstream in any service any more. What a removed engine still caches is irrelevant. */
    private fun hasNoUpstream(host: HostName): Boolean {
        val current = configuration() ?: return false
        return current.upstreamOf(host) == null
    }

    private fun removeIfEvicted(program: ProgramId) {
        if (journal.log.pending(setOf(program)).isNotEmpty()) return
        val isRemoved = journal.table.removeIf(program) { it.running == null && isRemovable(it.state) }
        if (isRemoved) journal.log.segments.markDead(program)
    }

    /**
     * Whether the program of [state] is evicted and ended long enough ago. Until then, a caller that repeats a call
     * still finds its result.
     */
    private fun isRemovable(state: ProgramState): Boolean {
        val endedAt = state.endedAt ?: return false
        return state.isEndedAndEvicted && clock.now() - endedAt >= REPEAT_WINDOW
    }

    private companion object {
        val REPEAT_WINDOW: Duration = 10.minutes
        val PASS_INTERVAL: Duration = 5.seconds
        val TIMEOUT: Duration = 5.seconds
    }
}
