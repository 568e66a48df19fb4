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

/** Finds the home of a call's program and sends the call to it, or to its successor if the home is lost. */
internal class Router(
    private val members: Members,
    private val peers: Peers,
    private val directory: Directory,
    private val time: TimeSource.WithComparableMarks,
    private val chooseHome: HomeChooser = { _, _ -> null },
) {
    private val takeoverClient = TakeoverClient(members, peers, directory)

    /** Sends [call] of [service] to its home and emits the replies, without repeats or gaps when the home changes. */
    fun send(
        service: Service,
        call: Call,
    ): Flow<Message> =
        flow {
            val home =
                chooseNewHome(service, call) ?: homeFor(service, call.program ?: call.parent, call.id, call.model)
            if (home == null) {
                emit(Refused(call.id, noHome(call.service)))
            } else {
                CallForwarder(service, call, home, peers, directory, takeoverClient, time).run { emit(it) }
            }
        }

    /** Sends [start] to a host that may become the home of a program of [service], and emits the replies. */
    fun start(
        service: Service,
        start: StartProgram,
    ): Flow<Message> {
        val home = homeFor(service, start.parent, start.id) ?: return flowOf(Refused(start.id, noHome(start.service)))
        return flow { emit(requestFromHome(home, start, start.parent) ?: Refused(start.id, unreachable(home))) }
    }

    /** Sends [message] to the home of [program] and emits the answer. */
    fun ask(
        program: ProgramId,
        message: Message,
    ): Flow<Message> =
        flow {
            val home = directory.lastKnownSuccessor(program.origin).host
            emit(requestFromHome(home, message, program) ?: Refused(CallId.random(), unreachable(home)))
        }

    /**
     * Returns the answer of the home on [host], of the home that it redirects to, or of the successor of a home
     * that does not respond; null when none of them responds.
     */
    private suspend fun requestFromHome(
        host: HostName,
        message: Message,
        program: ProgramId?,
    ): Message? {
        var target = host
        repeat(MAX_REDIRECTS) {
            val reply = peers.request(target, message, REPLY_TIMEOUT)
            if (reply !is Elsewhere) {
                if (reply != null || program == null) return reply
                val lost = directory.fetchLastSuccessor(program.origin) ?: return null
                val found = if (lost.host == target) takeoverClient.requestTakeover(lost, null) else Successor.At(lost)
                target = (found as? Successor.At)?.home?.host ?: return null
            } else {
                target = reply.home.host
            }
        }
        return null
    }

    /**
     * Chooses the home of a new program by load; null when [homeFor] has to determine it. A call that may be repeated
     * by another entry has to reach the home that received it the first time, so its home depends on its id alone.
     */
    private fun chooseNewHome(
        service: Service,
        call: Call,
    ): HostName? {
        val isNew = call.program == null && call.parent == null && !call.mayRepeat
        return if (isNew) chooseHome(service, call) else null
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
        Refusal(Outcome.NOT_RUN, UNAVAILABLE, "no host of service $service can be reached", RETRY_AFTER)

    private fun unreachable(host: HostName) =
        Refusal(Outcome.NOT_RUN, UNAVAILABLE, "host $host cannot be reached", RETRY_AFTER)

    private companion object {
        const val UNAVAILABLE = 503
        const val MAX_REDIRECTS = 4
        val RETRY_AFTER = 2.seconds
        val REPLY_TIMEOUT = 5.seconds
    }
}
