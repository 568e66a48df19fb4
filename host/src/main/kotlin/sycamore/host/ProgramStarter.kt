package sycamore.host

import sycamore.daemon.Directory
import sycamore.daemon.Peers
import sycamore.links.Call
import sycamore.links.Declined
import sycamore.links.Elsewhere
import sycamore.links.GetProgramRoot
import sycamore.links.Message
import sycamore.links.ProgramRoot
import sycamore.links.StartProgram
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.programs.ProgramStarted
import sycamore.programs.ProgramState
import sycamore.programs.Refusal
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/** The result of looking up the program that a request names. */
internal sealed interface Found {
    /** This home serves the program. */
    class Program(
        val state: ProgramState,
    ) : Found

    /** The program is not at this home, belongs to another caller, or could not be started. */
    class Refused(
        val refusal: Refusal,
    ) : Found
}

/** Starts programs, each only once even if its first call is repeated. */
internal class ProgramStarter(
    private val journal: Journal,
    private val directory: Directory,
    private val peers: Peers,
    private val clock: Clock,
) {
    /** The program that each first call started. */
    private val programByCall = ConcurrentHashMap<CallId, ProgramId>()
    private val nextNumber = AtomicLong()

    /**
     * Returns the program of [call]. Starts a program if [call] names none, or is the start of the program that it
     * names.
     */
    suspend fun findOrStart(
        service: Service,
        call: Call,
    ): Found {
        val program = call.program
        if (program != null && !(call.isStart && journal.table.find(program) == null)) return find(program, call.caller)
        val request = StartRequest(call.id, call.caller, service, call.parent, program)
        return startOnce(request)
    }

    /** Starts the program that [start] requests. */
    suspend fun start(
        service: Service,
        start: StartProgram,
    ): Found = startOnce(StartRequest(start.id, start.caller, service, start.parent, program = null))

    /** Returns the reply to [request], with the root of the program that it names. */
    suspend fun findRoot(request: GetProgramRoot): Message {
        val found = find(request.program, request.caller)
        if (found is Found.Program) {
            val state = found.state
            return if (state.ended == null) {
                ProgramRoot(state.root)
            } else {
                Declined("program ${request.program} has ended")
            }
        }
        val home = directory.fetchLastSuccessor(request.program.origin)
        if (home == null || home == journal.log.home) return Declined("no program ${request.program}")
        return Elsewhere(CallId.random(), home)
    }

    /** Finds program [id] if it belongs to [caller]. */
    fun find(
        id: ProgramId,
        caller: CallerName,
    ): Found {
        val state = journal.table.find(id)?.takeIf { it.caller == caller }
        return state?.let { Found.Program(it) } ?: Found.Refused(Refusals.programNotFound(id))
    }

    /**
     * Records the first call of a program that another home started, so that a repeat of the call finds the program.
     */
    fun onAdopted(state: ProgramState) {
        state.calls.values
            .filter { it.turn == 1 }
            .forEach { programByCall.putIfAbsent(it.id, state.id) }
    }

    private class StartRequest(
        val id: CallId,
        val caller: CallerName,
        val service: Service,
        val parent: ProgramId?,
        val program: ProgramId?,
    )

    /** Starts a program with the root of its parent, unless [request] was handled before. */
    private suspend fun startOnce(request: StartRequest): Found {
        programByCall[request.id]?.let { return find(it, request.caller) }
        val parent = request.parent ?: return startOnce(request, root = null)
        return when (val root = requestRoot(parent, request.caller)) {
            is ProgramRoot -> startOnce(request, root.root)
            is Declined -> Found.Refused(refusalOf(root))
            else -> Found.Refused(Refusals.unavailable("the home of program $parent cannot be reached"))
        }
    }

    private fun refusalOf(declined: Declined): Refusal {
        val refusal = Refusals.programNotFound(declined.reason)
        return refusal.copy(detail = declined.reason)
    }

    private fun startOnce(
        request: StartRequest,
        root: ProgramId?,
    ): Found {
        val id = programByCall.computeIfAbsent(request.id) { create(request, root) }
        return find(id, request.caller)
    }

    private fun create(
        request: StartRequest,
        root: ProgramId?,
    ): ProgramId {
        val id = request.program ?: ProgramId(journal.log.home, nextNumber.incrementAndGet())
        val service = request.service
        val budget: Budget = service.budget
        val record =
            ProgramStarted(id, request.caller, service.name, request.parent, root ?: id, budget, clock.now())
        journal.start(record)
        return id
    }

    private suspend fun requestRoot(
        parent: ProgramId,
        caller: CallerName,
    ): Message? {
        val request = GetProgramRoot(parent, caller)
        if (journal.table.find(parent) != null) return findRoot(request)
        val home = directory.lastKnownSuccessor(parent.origin)
        val reply = peers.request(home.host, request)
        if (reply !is Elsewhere) return reply
        directory.recordSuccessor(home, reply.home)
        return peers.request(reply.home.host, request, ROOT_REQUEST_TIMEOUT)
    }

    private companion object {
        val ROOT_REQUEST_TIMEOUT = 2.seconds
    }
}
