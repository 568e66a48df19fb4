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

/** Evicts programs that have ended from every engine that may hold cache of them, until each has acknowledged it. */
internal class Evictions(
    private val journal: Journal,
    private val peers: Peers,
    private val self: HostName,
    private val evictHere: suspend (EvictProgram) -> Message,
    private val configuration: () -> Configuration?,
    private val clock: Clock,
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** A program has ended. */
    fun wake() {
        wake.trySend(Unit)
    }

    /** Evicts until cancelled. */
    suspend fun run() {
        while (true) {
            withTimeoutOrNull(PERIOD) { wake.receive() }
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
        forget(state.id)
    }

    private fun isRunning(program: ProgramId): Boolean = journal.table.update(program) { it.running != null } ?: true

    private suspend fun evict(
        program: ProgramId,
        host: HostName,
    ) {
        if (isGone(host) || ask(program, host) is Done) journal.record(CacheEvicted(program, host))
    }

    private suspend fun ask(
        program: ProgramId,
        host: HostName,
    ): Message? = if (host == self) evictHere(EvictProgram(program)) else peers.ask(host, EvictProgram(program), LIMIT)

    /** An engine that is in no service any more holds nothing that matters. */
    private fun isGone(host: HostName): Boolean {
        val current = configuration() ?: return false
        return current.upstreamOf(host) == null
    }

    private fun forget(program: ProgramId) {
        if (journal.log.pending(setOf(program)).isNotEmpty()) return
        val isFreed = journal.table.removeIf(program) { it.running == null && isForgotten(it.state) }
        if (isFreed) journal.log.segments.markDead(program)
    }

    /** A caller that repeats a call soon after the end has to find what became of it. */
    private fun isForgotten(state: ProgramState): Boolean {
        val endedAt = state.endedAt ?: return false
        return state.isFreed && clock.now() - endedAt >= REPEAT_WINDOW
    }

    private companion object {
        val REPEAT_WINDOW: Duration = 10.minutes
        val PERIOD: Duration = 5.seconds
        val LIMIT: Duration = 5.seconds
    }
}
