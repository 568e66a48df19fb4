package sycamore.host

import kotlinx.coroutines.delay
import sycamore.model.Configuration
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.programs.ProgramState
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Ends programs that have been idle for longer than the idle limit of their service. */
internal class IdlePrograms(
    private val journal: Journal,
    private val programTerminator: ProgramTerminator,
    private val configuration: () -> Configuration?,
    private val time: TimeSource.WithComparableMarks,
) {
    private val lastUsed = ConcurrentHashMap<ProgramId, ComparableTimeMark>()

    /** Records that [program] is used now. */
    fun markUsed(program: ProgramId) {
        lastUsed[program] = time.markNow()
    }

    /** Checks all programs periodically until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            val all = journal.table.all
            all.filter { it.unresolved.isEmpty() && it.ended == null }.forEach(::endIfIdle)
            lastUsed.keys.retainAll(all.map { it.id }.toSet())
        }
    }

    private fun endIfIdle(state: ProgramState) {
        val usedAt = lastUsed.computeIfAbsent(state.id) { time.markNow() }
        if (usedAt.elapsedNow() < idleLimit(state)) return
        val isRunning = journal.table.update(state.id) { it.running != null } ?: return
        if (isRunning) markUsed(state.id) else programTerminator.end(state.id, "idle")
    }

    private fun idleLimit(state: ProgramState): Duration =
        configuration()?.service(state.service)?.idleLimit ?: Service.DEFAULT_IDLE_LIMIT

    private companion object {
        val CHECK_PERIOD: Duration = 5.seconds
    }
}
