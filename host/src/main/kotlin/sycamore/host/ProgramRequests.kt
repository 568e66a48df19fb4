package sycamore.host

import sycamore.daemon.Directory
import sycamore.daemon.InForce
import sycamore.links.Done
import sycamore.links.Elsewhere
import sycamore.links.EndProgram
import sycamore.links.GetProgram
import sycamore.links.Message
import sycamore.links.ProgramView
import sycamore.links.Refused
import sycamore.links.StartProgram
import sycamore.links.Unsupported
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.ProgramId
import sycamore.programs.ProgramState
import sycamore.programs.Refusal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Handles the requests of callers that start, show or end a program. */
internal class ProgramRequests(
    private val home: Home,
    private val inForce: InForce,
    private val directory: Directory,
    private val isLeaving: Boolean,
) {
    private val parts = home.components
    private val journal = parts.journal

    /** Handles [message], which starts, shows or ends a program, and returns the reply. */
    suspend fun answer(message: Message): Message =
        try {
            when (message) {
                is StartProgram -> start(message)
                is GetProgram -> withProgram(message.program, message.caller) { view(it) }
                is EndProgram -> withProgram(message.program, message.caller) { end(it) }
                else -> Unsupported
            }
        } catch (e: HomeEndedException) {
            Elsewhere(CallId.random(), e.successor)
        }

    private suspend fun start(start: StartProgram): Message {
        val service = inForce.configuration.value?.service(start.service)
        if (service == null) return Refused(start.id, Refusals.unavailable("no service ${start.service} is in force"))
        if (isLeaving) return Refused(start.id, Refusals.unavailable("the host is leaving"))
        return when (val found = parts.programStarter.start(service, start)) {
            is Found.Refused -> Refused(start.id, found.refusal)
            is Found.Program -> started(start, found.state)
        }
    }

    private suspend fun started(
        start: StartProgram,
        state: ProgramState,
    ): Message {
        val isDurable = journal.awaitDurable(setOf(state.id), DURABILITY_TIMEOUT)
        return if (isDurable) view(state) else Refused(start.id, Refusals.unavailable("the program is not durable yet"))
    }

    private suspend fun withProgram(
        program: ProgramId,
        caller: CallerName,
        block: suspend (ProgramState) -> Message,
    ): Message {
        journal.log.requireNotEnded()
        val found = parts.programStarter.find(program, caller)
        if (found is Found.Program) return block(found.state)
        val current =
            directory.fetchLastSuccessor(program.origin)
                ?: return refused(Refusals.unavailable("the home is not known now"))
        if (current != home.id) return Elsewhere(CallId.random(), current)
        return refused((found as Found.Refused).refusal)
    }

    private suspend fun end(state: ProgramState): Message {
        parts.programTerminator.end(state.id, "explicit")
        val isDurable = journal.awaitDurable(setOf(state.id), DURABILITY_TIMEOUT)
        return if (isDurable) Done else refused(Refusals.unavailable("the end of the program is not durable yet"))
    }

    private fun view(state: ProgramState): ProgramView {
        val root = journal.table.find(state.root) ?: state
        return ProgramView(
            program = state.id,
            service = state.service,
            root = state.root,
            parent = state.parent,
            turns = state.turn,
            inProgress = state.unresolved.size,
            usage = state.usage,
            budget = state.budget,
            spentTokens = root.account.spent + root.account.held,
            spentCalls = root.account.calls.toLong(),
            startedAt = state.startedAt,
            ended = state.ended,
        )
    }

    private fun refused(refusal: Refusal) = Refused(CallId.random(), refusal)

    private companion object {
        val DURABILITY_TIMEOUT: Duration = 2.seconds
    }
}
