package sycamore.host

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import sycamore.links.Call
import sycamore.model.Generation
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import sycamore.programs.Admission
import sycamore.programs.CallState
import sycamore.programs.ProgramState
import sycamore.programs.Request
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Resolves calls that a lost home left without a result and that their callers do not repeat. A call that may not be
 * repeated gets the outcome that its gate has recorded, or is barred at the gate.
 */
internal class OrphanedCalls(
    private val parts: HomeComponents,
    private val calls: CallExecutor,
    private val streams: RunningStreams,
) {
    private val journal = parts.journal

    /** Resolves the calls of [programs] once their callers have had time to repeat them. */
    suspend fun resolve(programs: List<ProgramId>) {
        delay(CALLER_REPEAT_TIME)
        coroutineScope {
            programs
                .mapNotNull { journal.table.find(it) }
                .flatMap { state -> state.unresolved.map { call -> async { resolve(state, call) } } }
                .awaitAll()
        }
    }

    private suspend fun resolve(
        state: ProgramState,
        call: CallState,
    ) {
        val job = jobOf(state, call)
        val isResumed =
            journal.table.update(state.id) { live ->
                val mayResume = live.admit(call.id, call.turn, call.digest) is Admission.Resume
                if (mayResume) streams.add(call.id, job.stream)
                mayResume
            }
        if (isResumed == true) calls.run(job) { findOutcome(it, call) }
    }

    private suspend fun findOutcome(
        job: CallJob,
        call: CallState,
    ): CallEnd {
        val intent = call.intents.lastOrNull() ?: return CallEnd.Refused(Refusals.barred())
        if (call.idempotent) return CallEnd.Refused(Refusals.outcomeUnknown("its home was lost before it had ended"))
        val target = GateTarget(intent.gate, intent.gateIncarnation)
        return parts.runner.barOrFollow(job, target) ?: CallEnd.Refused(Refusals.barred())
    }

    private fun jobOf(
        state: ProgramState,
        call: CallState,
    ): CallJob {
        val name = call.intents.lastOrNull()?.service ?: state.service
        val service = parts.configuration()?.service(name) ?: placeholderService(name, state)
        val stream = AnswerStream(call.id)
        return CallJob(
            service,
            callOf(state, call),
            state.id,
            state.root,
            call.turn,
            stream,
            call,
            parts.time.markNow(),
        )
    }

    /** Stands for a service that the configuration no longer lists. */
    private fun placeholderService(
        name: ServiceName,
        state: ProgramState,
    ) = Service(name, ServiceKind.SERVICE, emptyList(), budget = state.budget)

    /** Creates a call without its request, which is not in the log. */
    private fun callOf(
        state: ProgramState,
        call: CallState,
    ) = Call(
        id = call.id,
        caller = state.caller,
        service = state.service,
        program = state.id,
        parent = state.parent,
        turn = call.turn,
        request = Request(method = "", path = ""),
        append = true,
        released = 0,
        releasedBody = ByteArray(0),
        timeLeft = RESOLUTION_TIME,
        generation = Generation.NONE,
    )

    private companion object {
        /** The time that callers have to repeat their calls. */
        val CALLER_REPEAT_TIME: Duration = 10.seconds

        /** The time to resolve a call, in place of the time left until its caller's deadline. */
        val RESOLUTION_TIME: Duration = 1.minutes
    }
}
