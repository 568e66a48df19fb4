package sycamore.entry

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import sycamore.daemon.Members
import sycamore.links.Call
import sycamore.links.Exchange
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.model.Address
import sycamore.model.Service
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
        val home = homeOf(service, call)
        return if (home == null) flowOf(Refused(call.id, noHome(call))) else exchange(home, call)
    }

    private fun homeOf(
        service: Service,
        call: Call,
    ): Address? {
        val program = call.program
        if (program != null) return members.addressOf(program.origin.host)
        return service.upstreams.firstNotNullOfOrNull { members.addressOf(it.host) }
    }

    private fun noHome(call: Call) =
        Refusal(Outcome.NOT_RUN, UNAVAILABLE, "no host of service ${call.service} can be reached")

    private companion object {
        const val UNAVAILABLE = 503
    }
}
