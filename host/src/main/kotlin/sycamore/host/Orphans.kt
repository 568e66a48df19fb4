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
 * Resolves calls that a lost home left without a result and whose callers do not ask for them: a call that may not be
 * repeated gets the outcome that its gate knows, or is barred there.
 */
internal class Orphans(
    private val parts: HomeParts,
    private val calls: CallExecutor,
    private val streams: RunningStreams,
) {
    private val journal = parts.journal

    /** Resolves the calls of [programs] once their callers have had time to repeat them. */
    suspend fun resolve(programs: List<ProgramId>) {
        delay(WAIT)
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
        val job = job(state, call)
        val isOurs =
            journal.table.update(state.id) { live ->
                val isResumed = live.admit(call.id, call.turn, call.digest) is Admission.Resume
                if (isResumed) streams.add(call.id, job.stream)
                isResumed
            }
        if (isOurs == true) calls.run(job) { outcome(it, call) }
    }

    private suspend fun outcome(
        job: CallJob,
        call: CallState,
    ): CallEnd {
        val intent = call.intents.lastOrNull() ?: return CallEnd.Refused(Refusals.barred())
        if (call.idempotent) return CallEnd.Refused(Refusals.outcomeUnknown("its home was lost before it had ended"))
        val target = GateTarget(intent.gate, intent.gateIncarnation)
        return parts.runner.barOrFollow(job, target) ?: CallEnd.Refused(Refusals.barred())
    }

    private fun job(
        state: ProgramState,
        call: CallState,
    ): CallJob {
        val name = call.intents.lastOrNull()?.service ?: state.service
        val service = parts.configuration()?.service(name) ?: unlisted(name, state)
        val stream = AnswerStream(call.id)
        return CallJob(service, call(state, call), state.id, state.root, call.turn, stream, call, parts.time.markNow())
    }

    private fun unlisted(
        name: ServiceName,
        state: ProgramState,
    ) = Service(name, ServiceKind.SERVICE, emptyList(), budget = state.budget)

    /** The call as far as it is known: its request is not in the log. */
    private fun call(
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
        timeLeft = TIME,
        generation = Generation.NONE,
    )

    private companion object {
        val WAIT: Duration = 10.seconds
        val TIME: Duration = 1.minutes
    }
}
