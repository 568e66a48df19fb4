package sycamore.host

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import sycamore.daemon.ConfigurationCodec
import sycamore.links.AskConfiguration
import sycamore.links.AskStatus
import sycamore.links.Call
import sycamore.links.ConfigurationText
import sycamore.links.EndProgram
import sycamore.links.Forward
import sycamore.links.HostStatus
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.links.ShowProgram
import sycamore.links.StartProgram
import sycamore.links.Unsupported
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Service
import sycamore.model.ServiceName
import sycamore.programs.Outcome
import sycamore.programs.Refusal

/** The daemon beside one upstream: gate of that upstream and home of programs. */
class HostDaemon internal constructor(
    world: HostWorld,
) {
    private val self = world.self
    private val inForce = world.inForce
    private val members = world.members
    private val exchange = world.exchange
    private val gate = Gate(world.engine, world.service)
    private val home = Home(HomeId(self.place, self.name, self.incarnation), ::toGate)

    /** Answers a message of another daemon. */
    fun serve(
        @Suppress("UNUSED_PARAMETER") from: HostName,
        message: Message,
    ): Flow<Message> =
        when (message) {
            is Call -> call(message)
            is Forward -> forward(message)
            is StartProgram -> start(message)
            is ShowProgram -> flowOf(home.show(message, ::budgetOf))
            is EndProgram -> flowOf(home.end(message))
            is AskConfiguration -> configuration(message)
            is AskStatus -> flowOf(HostStatus(self, leaving = false, queued = 0, running = 0, inForce.generation))
            else -> flowOf(Unsupported)
        }

    /** Does the daemon's background work until cancelled. */
    suspend fun run(): Unit = awaitCancellation()

    private fun call(call: Call): Flow<Message> {
        val service = inForce.configuration.value?.service(call.service)
        return if (service == null) notRun(call.id, "no service ${call.service}") else home.run(service, call)
    }

    private fun start(start: StartProgram): Flow<Message> {
        val service = inForce.configuration.value?.service(start.service)
        return if (service == null) {
            notRun(start.id, "no service ${start.service}")
        } else {
            flowOf(home.start(start, service.budget))
        }
    }

    private fun budgetOf(service: ServiceName): Budget =
        inForce.configuration.value
            ?.service(service)
            ?.budget ?: Budget()

    private fun toGate(forward: Forward): Flow<Message> {
        val service = inForce.configuration.value?.service(forward.service)
        val target = service?.let(::chooseUpstream) ?: return notRun(forward.id, "no upstream of ${forward.service}")
        if (target == self.name) return forward(forward)
        val address = members.addressOf(target) ?: return notRun(forward.id, "host $target is not known")
        return exchange(address, forward)
    }

    private fun chooseUpstream(service: Service): HostName? {
        val hosts = service.upstreams.map { it.host }
        return if (self.name in hosts) self.name else hosts.firstOrNull { members.addressOf(it) != null }
    }

    private fun forward(forward: Forward): Flow<Message> {
        val (service, upstream) =
            inForce.configuration.value?.upstreamOf(self.name)
                ?: return notRun(forward.id, "host ${self.name} has no upstream")
        return gate.run(service, upstream, forward)
    }

    private fun configuration(ask: AskConfiguration): Flow<Message> {
        val configuration = inForce.configuration.value
        if (configuration == null || configuration.generation <= ask.above) return flowOf()
        return flowOf(ConfigurationText(configuration.generation, ConfigurationCodec.text(configuration)))
    }

    private fun notRun(
        id: CallId,
        detail: String,
    ): Flow<Message> = flowOf(Refused(id, Refusal(Outcome.NOT_RUN, UNAVAILABLE, detail)))

    private companion object {
        const val UNAVAILABLE = 503
    }
}
