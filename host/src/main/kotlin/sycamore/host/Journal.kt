package sycamore.host

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.ProgramId
import sycamore.programs.LiveProgram
import sycamore.programs.ProgramLog
import sycamore.programs.ProgramStarted
import sycamore.programs.ProgramState
import sycamore.programs.ProgramTable
import sycamore.programs.Record
import kotlin.time.Duration

/** The programs of a home together with its log: what changes a program is appended to the log in the same step. */
internal class Journal(
    val log: HomeLog,
    private val retention: Retention,
) {
    /** The programs. */
    val table = ProgramTable()

    /** Begins a program unless it exists; returns whether it did. */
    fun start(record: ProgramStarted): Boolean {
        log.requireAlive()
        return table.add(ProgramState.initial(record)) { log.append(FIRST_VERSION, record) }
    }

    /** Applies [record] to its program; false when it does not live here. */
    fun record(record: Record): Boolean = table.update(record.program) { record(it, record) } != null

    /** Applies [record] to [program], whose lock the caller holds. */
    fun record(
        program: LiveProgram,
        record: Record,
    ) {
        log.requireAlive()
        log.append(program.apply(record), record)
    }

    /** Adds a program that another home began, with its log; false when it lives here already. */
    fun adopt(program: ProgramLog): Boolean {
        val state = ProgramState.fold(program.records.map { it.record }) ?: return false
        return table.add(state) { program.records.forEach { log.append(it.version, it.epoch, it.record) } }
    }

    /**
     * Waits until all records of [programs] so far are committed or retained by enough hosts.
     *
     * Returns false when that takes longer than [limit]; fails with [HomeEnded] when the home is taken over meanwhile.
     */
    suspend fun awaitSafe(
        programs: Set<ProgramId>,
        limit: Duration,
    ): Boolean {
        log.requireAlive()
        val pending = log.pending(programs)
        val last = pending.lastOrNull() ?: return true
        val isSafe =
            withTimeoutOrNull(limit) {
                coroutineScope {
                    val committed = async { log.committed.first { it >= last.number } }
                    val retained = async { retention.retain(pending) }
                    val ended = async { log.ended.await() }
                    select {
                        committed.onAwait { }
                        retained.onAwait { }
                        ended.onAwait { }
                    }
                    listOf(committed, retained, ended).forEach { it.cancel() }
                    true
                }
            }
        log.requireAlive()
        return isSafe == true
    }

    private companion object {
        const val FIRST_VERSION = 1L
    }
}
