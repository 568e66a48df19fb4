package sycamore.entry

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import sycamore.daemon.Members
import sycamore.links.Call
import sycamore.links.Exchange
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.links.StartProgram
import sycamore.model.Address
import sycamore.model.CallId
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceName
import sycamore.programs.Outcome
import sycamore.programs.Refusal

/** Finds the home of a call's program and sends the call there. */
internal class Router(
    private val members: Members,
    private val exchange: Exchange,
) {
    /** Sends [call] of [service] to its home and yields the replies. */
    fun send(
        service: Service,
        call: Call,
    ): Flow<Message> {
        val home = homeFor(service, call.program ?: call.parent)
        return if (home == null) flowOf(Refused(call.id, noHome(call.service))) else exchange(home, call)
    }

    /** Sends [start] to a host that may become the home of a program of [service], and yields the replies. */
    fun start(
        service: Service,
        start: StartProgram,
    ): Flow<Message> {
        val home = homeFor(service, start.parent) ?: return flowOf(Refused(start.id, noHome(start.service)))
        return exchange(home, start)
    }

    /** Sends [message] to the home of [program] and yields the replies. */
    fun ask(
        program: ProgramId,
        message: Message,
    ): Flow<Message> {
        val home = members.addressOf(program.origin.host)
        return if (home == null) flowOf(Refused(CallId.random(), unreachable(program))) else exchange(home, message)
    }

    private fun homeFor(
        service: Service,
        program: ProgramId?,
    ): Address? {
        if (program != null) return members.addressOf(program.origin.host)
        return service.upstreams.firstNotNullOfOrNull { members.addressOf(it.host) }
    }

    private fun noHome(service: ServiceName) =
        Refusal(Outcome.NOT_RUN, UNAVAILABLE, "no host of service $service can be reached")

    private fun unreachable(program: ProgramId) =
        Refusal(Outcome.NOT_RUN, UNAVAILABLE, "the home of program $program cannot be reached")

    private companion object {
        const val UNAVAILABLE = 503
    }
}
