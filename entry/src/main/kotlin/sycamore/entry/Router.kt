package sycamore.entry

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import sycamore.daemon.Directory
import sycamore.daemon.Members
import sycamore.daemon.Peers
import sycamore.links.Call
import sycamore.links.Elsewhere
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.links.StartProgram
import sycamore.model.CallId
import sycamore.model.HostName
import sycamore.model.ModelName
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceName
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import sycamore.programs.Rendezvous
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Finds the home of a call's program and sends the call there, to its successor if the home is lost. */
internal class Router(
    private val members: Members,
    private val peers: Peers,
    private val directory: Directory,
    private val time: TimeSource.WithComparableMarks,
    private val place: PlaceProgram = { _, _ -> null },
) {
    private val lostHomes = LostHomes(members, peers, directory)

    /** Sends [call] of [service] to its home and yields the replies, without repeats or gaps when the home changes. */
    fun send(
        service: Service,
        call: Call,
    ): Flow<Message> =
        flow {
            val home = placed(service, call) ?: homeFor(service, call.program ?: call.parent, call.id, call.model)
            if (home == null) {
                emit(Refused(call.id, noHome(call.service)))
            } else {
                CarriedCall(service, call, home, peers, directory, lostHomes, time).run { emit(it) }
            }
        }

    /** Sends [start] to a host that may become the home of a program of [service], and yields the replies. */
    fun start(
        service: Service,
        start: StartProgram,
    ): Flow<Message> {
        val home = homeFor(service, start.parent, start.id) ?: return flowOf(Refused(start.id, noHome(start.service)))
        return flow { emit(askHome(home, start, start.parent) ?: Refused(start.id, unreachable(home))) }
    }

    /** Sends [message] to the home of [program] and yields the answer. */
    fun ask(
        program: ProgramId,
        message: Message,
    ): Flow<Message> =
        flow {
            val home = directory.lastKnownSuccessor(program.origin).host
            emit(askHome(home, message, program) ?: Refused(CallId.random(), unreachable(home)))
        }

    /** The answer of the home on [host], or of the one that it names instead, or of the successor of a lost one. */
    private suspend fun askHome(
        host: HostName,
        message: Message,
        program: ProgramId?,
    ): Message? {
        var at = host
        repeat(MAX_HOPS) {
            val reply = peers.request(at, message, ASK_LIMIT)
            if (reply !is Elsewhere) {
                if (reply != null || program == null) return reply
                val lost = directory.fetchLastSuccessor(program.origin) ?: return null
                val found = if (lost.host == at) lostHomes.successor(lost, null) else Recovered.At(lost)
                at = (found as? Recovered.At)?.home?.host ?: return null
            } else {
                at = reply.home.host
            }
        }
        return null
    }

    /**
     * Where a new program is best placed. A call that may be repeated by another entry has to reach the home that knows
     * it from the first time, so that its home follows from its id alone.
     */
    private fun placed(
        service: Service,
        call: Call,
    ): HostName? {
        val isFree = call.program == null && call.parent == null && !call.mayRepeat
        return if (isFree) place(service, call) else null
    }

    private fun homeFor(
        service: Service,
        program: ProgramId?,
        call: CallId,
        model: ModelName? = null,
    ): HostName? {
        if (program != null) return directory.lastKnownSuccessor(program.origin).host
        val hosts = service.upstreamsFor(model).map { it.host }
        val present = members.all.filter { !it.leaving }.map { it.name }
        return Rendezvous.order(call.value, hosts).firstOrNull { it in present }
    }

    private fun noHome(service: ServiceName) =
        Refusal(Outcome.NOT_RUN, UNAVAILABLE, "no host of service $service can be reached", SOON)

    private fun unreachable(host: HostName) =
        Refusal(Outcome.NOT_RUN, UNAVAILABLE, "host $host cannot be reached", SOON)

    private companion object {
        const val UNAVAILABLE = 503
        const val MAX_HOPS = 4
        val SOON = 2.seconds
        val ASK_LIMIT = 5.seconds
    }
}
