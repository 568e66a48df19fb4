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

/** Keeps the programs that live on this host: their order, history and budget. */
internal class Home(
    private val parts: HomeParts,
    private val background: Background,
) {
    private val journal = parts.journal
    private val streams = RunningStreams()
    private val calls = CallExecutor(parts, streams)
    private val orphans = Orphans(parts, calls, streams)

    /** Its id. */
    val id: HomeId = journal.log.home

    /** Completes with the successor once this home has ended. */
    val ended get() = journal.log.ended

    /** The parts that recovery works on. */
    val recovery get() = parts

    /** This home was taken over by [successor]. */
    fun end(successor: HomeId) = journal.log.end(successor)

    /** Does the home's own work until it has ended or the caller is cancelled. */
    suspend fun run() {
        coroutineScope {
            val work =
                listOf(
                    launch { journal.log.run() },
                    launch { parts.retention.run() },
                    launch { parts.cleaner.run() },
                    launch { parts.evictions.run() },
                    launch { parts.idle.run() },
                    launch { checkLog() },
                )
            val successor = journal.log.ended.await()
            work.forEach { it.cancel() }
            streams.endAll { Elsewhere(it, successor) }
        }
    }

    /** Takes in programs of a home that has ended, and resolves what it left unresolved. */
    fun adopt(logs: List<ProgramLog>) {
        val adopted = logs.filter { journal.adopt(it) }.mapNotNull { journal.table.find(it.program) }
        adopted.forEach {
            parts.starts.adopted(it)
            parts.idle.touch(it.id)
        }
        val orphaned = adopted.filter { it.unresolved.isNotEmpty() }.map { it.id }
        if (orphaned.isNotEmpty()) background.launch("resolving calls") { orphans.resolve(orphaned) }
        parts.evictions.wake()
    }

    /** Whether [program] lives here. */
    fun has(program: ProgramId): Boolean = journal.table.find(program) != null

    /** Runs [call] of [service] in its program's order. */
    fun run(
        service: Service,
        call: Call,
    ): Flow<Message> =
        flow {
            try {
                serve(service, call)
            } catch (e: HomeEnded) {
                emit(Elsewhere(call.id, e.successor))
            }
        }

    private suspend fun FlowCollector<Message>.serve(
        service: Service,
        call: Call,
    ) {
        journal.log.requireAlive()
        val program =
            when (val found = parts.starts.programOf(service, call)) {
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

    /** Waits until [call] has its turn, and starts it then; or finds what a repeat gets. */
    private suspend fun admit(
        service: Service,
        call: Call,
        program: ProgramState,
    ): CallAdmission {
        val limit = minOf(TURN_LIMIT, call.timeLeft / 2)
        val wait = TurnWait(parts.time, limit)
        while (true) {
            val seen = journal.table.update(program.id) { it.changes.value } ?: return gone(program.id)
            val step = journal.table.update(program.id) { tryAdmit(service, call, it) } ?: return gone(program.id)
            if (step is Step.Done) return step.admitted
            val changes = journal.table.update(program.id) { it.changes } ?: return gone(program.id)
            if (!wait.awaitChange(changes, seen, journal.log.ended)) return missing(program.id, call)
            journal.log.requireAlive()
        }
    }

    private fun tryAdmit(
        service: Service,
        call: Call,
        live: LiveProgram,
    ): Step {
        parts.idle.touch(live.state.id)
        return when (val admission = live.admit(call.id, call.turn, call.request.digest)) {
            is Admission.Run -> begin(service, call, live, admission.turn, known = null)
            is Admission.Resume -> begin(service, call, live, admission.call.turn, admission.call)
            Admission.Attach -> streams.find(call.id)?.let { Step.Done(CallAdmission.Follow(it)) } ?: Step.Wait
            is Admission.Kept -> Step.Done(CallAdmission.Completed(admission.turn, admission.result))
            Admission.Wait -> Step.Wait
            Admission.OtherRequest -> refuse(Refusals.requestMismatch())
            is Admission.TurnTaken -> refuse(Refusals.turnTaken(admission.next))
            is Admission.Ended -> refuse(Refusals.programEnded(admission.reason))
        }
    }

    private fun begin(
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
                Refusals.unavailable(
                    "too many records are not committed yet",
                )
            call.request.body.size > CallPreparation.MAX_REQUEST_BYTES * JSON_OVERHEAD ->
                Refusals.tooLarge(CallPreparation.MAX_REQUEST_BYTES * JSON_OVERHEAD)
            state.repeats >= MAX_REPEATS && call.request.digest == state.lastCall ->
                Refusals.repeatedCall(
                    state.repeats,
                )
            else -> null
        }

    private fun missing(
        program: ProgramId,
        call: Call,
    ): CallAdmission {
        journal.table.update(program) { it.abandon(call.id) }
        return CallAdmission.Refused(Refusals.turnMissing())
    }

    private fun gone(program: ProgramId) = CallAdmission.Refused(Refusals.programNotFound(program))

    private fun refuse(refusal: Refusal) = Step.Done(CallAdmission.Refused(refusal))

    private suspend fun checkLog() {
        while (true) {
            journal.log.check()
            delay(CHECK_PERIOD)
        }
    }

    private sealed interface Step {
        class Done(
            val admitted: CallAdmission,
        ) : Step

        data object Wait : Step
    }

    private companion object {
        val TURN_LIMIT: Duration = 10.seconds
        val CHECK_PERIOD: Duration = 1.seconds

        /** Records that may wait for their commit, in bytes. */
        const val MAX_PENDING_BYTES = 24L * 1024 * 1024

        /** A whole conversation may be longer than what a call adds to it. */
        const val JSON_OVERHEAD = 10

        /** How often in a row the same call may get the same answer. */
        const val MAX_REPEATS = 16
    }
}
