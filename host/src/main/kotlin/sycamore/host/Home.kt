package sycamore.host

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import sycamore.daemon.Background
import sycamore.links.Call
import sycamore.links.Elsewhere
import sycamore.links.Homed
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.model.HomeId
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.programs.Admission
import sycamore.programs.CallState
import sycamore.programs.LiveProgram
import sycamore.programs.ProgramLog
import sycamore.programs.ProgramState
import sycamore.programs.Refusal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The home of the programs that this host serves: it keeps the order of their calls, their history and their budget.
 */
internal class Home(
    private val parts: HomeComponents,
    private val background: Background,
) {
    private val journal = parts.journal
    private val streams = RunningStreams()
    private val calls = CallExecutor(parts, streams)
    private val orphans = OrphanedCalls(parts, calls, streams)

    /** The id of this home. */
    val id: HomeId = journal.log.home

    /** Completes with the successor once this home has been taken over. */
    val ended get() = journal.log.ended

    /** The components of this home, for the takeover and handover of programs. */
    val components get() = parts

    /** Ends this home, since [successor] has taken it over. */
    fun markEnded(successor: HomeId) = journal.log.markEnded(successor)

    /** Runs the background work of this home until it has ended or the caller is cancelled. */
    suspend fun run() {
        coroutineScope {
            val work =
                listOf(
                    launch { journal.log.run() },
                    launch { parts.retention.run() },
                    launch { parts.cleaner.run() },
                    launch { parts.evictions.run() },
                    launch { parts.idle.run() },
                    launch { checkRetainers() },
                )
            val successor = journal.log.ended.await()
            work.forEach { it.cancel() }
            streams.endAll { Elsewhere(it, successor) }
        }
    }

    /** Adopts programs of a home that has ended, and resolves their calls that have no result. */
    fun adopt(logs: List<ProgramLog>) {
        val adopted = logs.filter { journal.adopt(it) }.mapNotNull { journal.table.find(it.program) }
        adopted.forEach {
            parts.programStarter.onAdopted(it)
            parts.idle.markUsed(it.id)
        }
        val orphaned = adopted.filter { it.unresolved.isNotEmpty() }.map { it.id }
        if (orphaned.isNotEmpty()) background.launch("resolving calls") { orphans.resolve(orphaned) }
        parts.evictions.wake()
    }

    /** Whether this home serves [program]. */
    fun serves(program: ProgramId): Boolean = journal.table.find(program) != null

    /** Runs [call] of [service] in the order of its program's calls, and returns the replies. */
    fun run(
        service: Service,
        call: Call,
    ): Flow<Message> =
        flow {
            try {
                runCall(service, call)
            } catch (e: HomeEndedException) {
                emit(Elsewhere(call.id, e.successor))
            }
        }

    private suspend fun FlowCollector<Message>.runCall(
        service: Service,
        call: Call,
    ) {
        journal.log.requireNotEnded()
        val program =
            when (val found = parts.programStarter.findOrStart(service, call)) {
                is Found.Refused -> return emit(Refused(call.id, found.refusal))
                is Found.Program -> found.state
            }
        emit(Homed(call.id, program.id, id))
        when (val admitted = admit(service, call, program)) {
            is CallAdmission.Follow -> follow(call, admitted.stream)
            is CallAdmission.Completed -> ResultReplay.replies(call, program.id, admitted).forEach { emit(it) }
            is CallAdmission.Refused -> emit(Refused(call.id, admitted.refusal, program.id))
        }
    }

    private suspend fun FlowCollector<Message>.follow(
        call: Call,
        stream: AnswerStream,
    ) {
        if (stream.agreesWith(call.releasedBody)) {
            emitAll(stream.follow(call.released))
        } else {
            emit(Refused(call.id, Refusals.failed("the answer that had begun cannot be continued")))
        }
    }

    /**
     * Waits for the turn of [call] and starts it. For a repeated call, returns the answer in progress or the result.
     */
    private suspend fun admit(
        service: Service,
        call: Call,
        program: ProgramState,
    ): CallAdmission {
        val limit = minOf(MAX_TURN_WAIT, call.timeLeft / 2)
        val wait = TurnWait(parts.time, limit)
        while (true) {
            val seen = journal.table.update(program.id) { it.changes.value } ?: return notFound(program.id)
            val step = journal.table.update(program.id) { tryAdmit(service, call, it) } ?: return notFound(program.id)
            if (step is Step.Done) return step.admitted
            val changes = journal.table.update(program.id) { it.changes } ?: return notFound(program.id)
            if (!wait.awaitChange(changes, seen, journal.log.ended)) return refuseMissingTurn(program.id, call)
            journal.log.requireNotEnded()
        }
    }

    private fun tryAdmit(
        service: Service,
        call: Call,
        live: LiveProgram,
    ): Step {
        parts.idle.markUsed(live.state.id)
        return when (val admission = live.admit(call.id, call.turn, call.request.digest)) {
            is Admission.Run -> startCall(service, call, live, admission.turn, known = null)
            is Admission.Resume -> startCall(service, call, live, admission.call.turn, admission.call)
            Admission.Attach -> streams.find(call.id)?.let { Step.Done(CallAdmission.Follow(it)) } ?: Step.Wait
            is Admission.Completed -> Step.Done(CallAdmission.Completed(admission.turn, admission.result))
            Admission.Wait -> Step.Wait
            Admission.RequestMismatch -> refuse(Refusals.requestMismatch())
            is Admission.TurnTaken -> refuse(Refusals.turnTaken(admission.next))
            is Admission.Ended -> refuse(Refusals.programEnded(admission.reason))
        }
    }

    private fun startCall(
        service: Service,
        call: Call,
        live: LiveProgram,
        turn: Int,
        known: CallState?,
    ): Step {
        val refusal = if (known == null) refusalOfNew(call, live.state) else null
        if (refusal != null) {
            live.release(call.id)
            return refuse(refusal)
        }
        val stream = AnswerStream(call.id, initial = call.releasedBody)
        streams.add(call.id, stream)
        val job = CallJob(service, call, live.state.id, live.state.root, turn, stream, known, parts.time.markNow())
        background.launch("call ${call.id}") { calls.run(job) }
        return Step.Done(CallAdmission.Follow(stream))
    }

    private fun refusalOfNew(
        call: Call,
        state: ProgramState,
    ): Refusal? =
        when {
            journal.log.pendingBytes > MAX_PENDING_BYTES ->
                Refusals.unavailable("too many records are not committed yet")
            call.request.body.size > CallPreparation.MAX_REQUEST_BYTES * MAX_BODY_FACTOR ->
                Refusals.tooLarge(CallPreparation.MAX_REQUEST_BYTES * MAX_BODY_FACTOR)
            state.repeats >= MAX_EQUAL_CALLS && call.request.digest == state.lastCall ->
                Refusals.repeatedCall(state.repeats)
            else -> null
        }

    private fun refuseMissingTurn(
        program: ProgramId,
        call: Call,
    ): CallAdmission {
        journal.table.update(program) { it.stopWaiting(call.id) }
        return CallAdmission.Refused(Refusals.turnMissing())
    }

    private fun notFound(program: ProgramId) = CallAdmission.Refused(Refusals.programNotFound(program))

    private fun refuse(refusal: Refusal) = Step.Done(CallAdmission.Refused(refusal))

    /** Has the log check the choice of retainers, which may change without a new record. */
    private suspend fun checkRetainers() {
        while (true) {
            journal.log.wakeWriter()
            delay(RETAINER_CHECK_PERIOD)
        }
    }

    private sealed interface Step {
        class Done(
            val admitted: CallAdmission,
        ) : Step

        data object Wait : Step
    }

    private companion object {
        /** Limit of the wait for the turn of a call. */
        val MAX_TURN_WAIT: Duration = 10.seconds
        val RETAINER_CHECK_PERIOD: Duration = 1.seconds

        /** Limit of the records that are not committed yet. New calls are refused above it. */
        const val MAX_PENDING_BYTES = 24L * 1024 * 1024

        /**
         * Factor by which the body of a request may exceed [CallPreparation.MAX_REQUEST_BYTES]. A body repeats the
         * entire conversation, which may be longer than what the call adds to it.
         */
        const val MAX_BODY_FACTOR = 10

        /** Limit of the times in a row that a program may make the same call and get the same answer. */
        const val MAX_EQUAL_CALLS = 16
    }
}
