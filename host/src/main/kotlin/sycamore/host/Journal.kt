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

/** The programs of a home and its log. Each change of a program is appended to the log in the same step. */
internal class Journal(
    val log: HomeLog,
    private val retention: RecordRetention,
) {
    /** The programs of the home. */
    val table = ProgramTable()

    /** Starts a program unless it exists. Returns whether it was started. */
    fun start(record: ProgramStarted): Boolean {
        log.requireNotEnded()
        return table.add(ProgramState.initial(record)) { log.append(FIRST_VERSION, record) }
    }

    /** Applies [record] to its program. Returns false if this home does not serve the program. */
    fun record(record: Record): Boolean = table.update(record.program) { record(it, record) } != null

    /** Applies [record] to [program]. The caller has to hold the lock of the program. */
    fun record(
        program: LiveProgram,
        record: Record,
    ) {
        log.requireNotEnded()
        log.append(program.apply(record), record)
    }

    /** Adds a program of another home, with its records. Returns false if this home serves it already. */
    fun adopt(program: ProgramLog): Boolean {
        val state = ProgramState.fold(program.records.map { it.record }) ?: return false
        return table.add(state) { program.records.forEach { log.append(it.version, it.epoch, it.record) } }
    }

    /**
     * Waits until all records of [programs] that have been appended so far are committed or retained by enough hosts.
     *
     * Returns false if that takes longer than [limit]. Throws [HomeEndedException] if the home is taken over in the
     * meantime.
     */
    suspend fun awaitDurable(
        programs: Set<ProgramId>,
        limit: Duration,
    ): Boolean {
        log.requireNotEnded()
        val pending = log.pending(programs)
        val last = pending.lastOrNull() ?: return true
        val isDurable =
            withTimeoutOrNull(limit) {
                coroutineScope {
                    val committed = async { log.committedNumber.first { it >= last.number } }
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
        log.requireNotEnded()
        return isDurable == true
    }

    private companion object {
        const val FIRST_VERSION = 1L
    }
}
