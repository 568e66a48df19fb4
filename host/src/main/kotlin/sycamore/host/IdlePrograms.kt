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

/** Ends programs that were idle for longer than their service allows. */
internal class IdlePrograms(
    private val journal: Journal,
    private val lives: Lives,
    private val configuration: () -> Configuration?,
    private val time: TimeSource.WithComparableMarks,
) {
    private val lastUsed = ConcurrentHashMap<ProgramId, ComparableTimeMark>()

    /** [program] is in use. */
    fun touch(program: ProgramId) {
        lastUsed[program] = time.markNow()
    }

    /** Checks from time to time until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PERIOD)
            val all = journal.table.all
            all.filter { it.unresolved.isEmpty() && it.ended == null }.forEach(::check)
            lastUsed.keys.retainAll(all.map { it.id }.toSet())
        }
    }

    private fun check(state: ProgramState) {
        val since = lastUsed.computeIfAbsent(state.id) { time.markNow() }
        if (since.elapsedNow() < limit(state)) return
        val isRunning = journal.table.update(state.id) { it.running != null } ?: return
        if (isRunning) touch(state.id) else lives.end(state.id, "idle")
    }

    private fun limit(state: ProgramState): Duration =
        configuration()?.service(state.service)?.idleLimit ?: Service.DEFAULT_IDLE_LIMIT

    private companion object {
        val PERIOD: Duration = 5.seconds
    }
}
