package sycamore.host

import sycamore.daemon.Directory
import sycamore.daemon.Peers
import sycamore.links.AskRoot
import sycamore.links.Call
import sycamore.links.Declined
import sycamore.links.Elsewhere
import sycamore.links.Message
import sycamore.links.RootIs
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

/** The program that a request is about. */
internal sealed interface Found {
    /** It lives here. */
    class Program(
        val state: ProgramState,
    ) : Found

    /** It does not. */
    class Refused(
        val refusal: Refusal,
    ) : Found
}

/** Begins programs, each once even if its first call is repeated. */
internal class Starts(
    private val journal: Journal,
    private val directory: Directory,
    private val peers: Peers,
    private val clock: Clock,
) {
    private val byCall = ConcurrentHashMap<CallId, ProgramId>()
    private val nextNumber = AtomicLong()

    /** The program of [call], which it begins when it names none. */
    suspend fun programOf(
        service: Service,
        call: Call,
    ): Found {
        val program = call.program
        if (program != null && !(call.isStart && journal.table.find(program) == null)) return find(program, call.caller)
        val begin = Begin(call.id, call.caller, service, call.parent, program)
        return begin(begin)
    }

    /** The program that [start] asks for. */
    suspend fun start(
        service: Service,
        start: StartProgram,
    ): Found = begin(Begin(start.id, start.caller, service, start.parent, program = null))

    /** The root of the program that [ask] is about. */
    suspend fun root(ask: AskRoot): Message {
        val found = find(ask.program, ask.caller)
        if (found is Found.Program) {
            val state = found.state
            return if (state.ended == null) RootIs(state.root) else Declined("program ${ask.program} has ended")
        }
        val home = directory.current(ask.program.origin)
        if (home == null || home == journal.log.home) return Declined("no program ${ask.program}")
        return Elsewhere(CallId.random(), home)
    }

    /** The program [id] if it belongs to [caller]. */
    fun find(
        id: ProgramId,
        caller: CallerName,
    ): Found {
        val state = journal.table.find(id)?.takeIf { it.caller == caller }
        return state?.let { Found.Program(it) } ?: Found.Refused(Refusals.programNotFound(id))
    }

    /** [state] was begun at another home. */
    fun adopted(state: ProgramState) {
        state.calls.values
            .filter { it.turn == 1 }
            .forEach { byCall.putIfAbsent(it.id, state.id) }
    }

    private class Begin(
        val id: CallId,
        val caller: CallerName,
        val service: Service,
        val parent: ProgramId?,
        val program: ProgramId?,
    )

    private suspend fun begin(begin: Begin): Found {
        byCall[begin.id]?.let { return find(it, begin.caller) }
        val parent = begin.parent ?: return begin(begin, root = null)
        return when (val root = rootOf(parent, begin.caller)) {
            is RootIs -> begin(begin, root.root)
            is Declined -> Found.Refused(declined(root))
            else -> Found.Refused(Refusals.unavailable("the home of program $parent cannot be reached"))
        }
    }

    private fun declined(declined: Declined): Refusal {
        val refusal = Refusals.programNotFound(declined.reason)
        return refusal.copy(detail = declined.reason)
    }

    private fun begin(
        begin: Begin,
        root: ProgramId?,
    ): Found {
        val id = byCall.computeIfAbsent(begin.id) { create(begin, root) }
        return find(id, begin.caller)
    }

    private fun create(
        begin: Begin,
        root: ProgramId?,
    ): ProgramId {
        val id = begin.program ?: ProgramId(journal.log.home, nextNumber.incrementAndGet())
        val service = begin.service
        val budget: Budget = service.budget
        val record =
            ProgramStarted(id, begin.caller, service.name, begin.parent, root ?: id, budget, clock.now())
        journal.start(record)
        return id
    }

    private suspend fun rootOf(
        parent: ProgramId,
        caller: CallerName,
    ): Message? {
        val ask = AskRoot(parent, caller)
        if (journal.table.find(parent) != null) return root(ask)
        val home = directory.known(parent.origin)
        val reply = peers.ask(home.host, ask)
        if (reply !is Elsewhere) return reply
        directory.learn(home, reply.home)
        return peers.ask(reply.home.host, ask, LIMIT)
    }

    private companion object {
        val LIMIT = 2.seconds
    }
}
