package sycamore.host

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import sycamore.daemon.Background
import sycamore.daemon.ConfigurationCodec
import sycamore.daemon.Directory
import sycamore.daemon.Peers
import sycamore.daemon.members.Load
import sycamore.links.BarCall
import sycamore.links.Call
import sycamore.links.ConfigurationText
import sycamore.links.Declined
import sycamore.links.DiscardRetainedRecords
import sycamore.links.Done
import sycamore.links.Elsewhere
import sycamore.links.EndProgram
import sycamore.links.EndReservation
import sycamore.links.EvictProgram
import sycamore.links.FenceHome
import sycamore.links.FencedHomeRecords
import sycamore.links.Forward
import sycamore.links.GateDecisions
import sycamore.links.GetConfiguration
import sycamore.links.GetGateDecisions
import sycamore.links.GetHostStatus
import sycamore.links.GetProgram
import sycamore.links.GetProgramRoot
import sycamore.links.HostStatus
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.links.ReserveTokens
import sycamore.links.RetainRecords
import sycamore.links.StartProgram
import sycamore.links.TakeOver
import sycamore.links.Unsupported
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ServiceKind
import sycamore.programs.CallLedger
import sycamore.programs.Fences
import sycamore.programs.RetainedRecords
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The daemon on the host of one upstream: it is the gate of that upstream and the home of programs. */
class HostDaemon internal constructor(
    private val environment: HostEnvironment,
) {
    private val self = environment.self
    private val inForce = environment.inForce
    private val members = environment.members
    private val background = Background()
    private val directory = Directory(environment.keys)
    private val peers = Peers(self.name, members, environment.exchange)
    private val fences = Fences()
    private val retained = RetainedRecords()
    private val upstream = OwnUpstream(environment)
    private val ledger = CallLedger<LedgerCall>(time = environment.time)
    private val gate =
        Gate(
            self,
            upstream.engine,
            upstream.service,
            environment.evictCache,
            ledger,
            fences,
            background,
            upstream::admit,
        )
    private val gates = Gates(self, members, peers, ::serveAtGate) { upstream.isAccepting }
    private val recordCollector = RetainedRecordCollector(self.name, members, peers, retained)
    private val takeovers =
        Takeovers(self.name, environment.keys, peers, directory, recordCollector, background) { home }
    private val startupRecovery = StartupRecovery(self.name, environment.keys, fences, directory, takeovers)
    private val handOver = HandOver(members, peers, inForce, self.name)
    private var homeCount = 0

    @Volatile
    private var home = newHome()

    @Volatile
    private var isLeaving = false

    /** Handles a message of another daemon and returns the replies. */
    fun serve(
        @Suppress("UNUSED_PARAMETER") from: HostName,
        message: Message,
    ): Flow<Message> =
        when (message) {
            is Call -> call(message)
            is Forward, is BarCall -> serveAtGate(message)
            is StartProgram, is GetProgram, is EndProgram -> flow { emit(programRequests().answer(message)) }
            is GetConfiguration -> configuration(message)
            is GetHostStatus -> flowOf(status())
            is RetainRecords -> flowOf(retain(message))
            is FenceHome -> flowOf(fence(message))
            is DiscardRetainedRecords -> flowOf(Done.also { retained.discard(message.home) })
            is TakeOver -> flow { emit(takeovers.takeOver(message)) }
            is GetProgramRoot, is ReserveTokens, is EndReservation -> flow { emit(handleBudgetRequest(message)) }
            is EvictProgram -> flow { emit(evict(message)) }
            is GetGateDecisions -> flowOf(GateDecisions(message.program, upstream.decisionsOn(message.program)))
            else -> flowOf(Unsupported)
        }

    /** Runs the background work of the daemon until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { background.run() }
            launch { upstream.run() }
            launch { startupRecovery.loadEndedHomes() }
            launch { expireLedger() }
            while (true) {
                val current = home
                launch { startupRecovery.recover(current.id) }
                current.run()
                home = newHome()
            }
        }
    }

    /**
     * Stops gracefully: accepts no new work, hands its programs over to a successor, and returns once the calls at its
     * upstream have been answered.
     */
    suspend fun stop() {
        isLeaving = true
        gate.isLeaving = true
        handOver.run(home)
        while (gate.calls > 0) delay(DRAIN_CHECK_PERIOD)
        delay(LAST_REPLIES_DELAY)
    }

    /** Returns the present load of this host's upstream. */
    fun load(): Load {
        val upstream =
            inForce.configuration.value
                ?.upstreamOf(self.name)
                ?.second
        return Load(queued = 0, running = gate.calls, capacity = upstream?.capacity ?: 0)
    }

    private fun newHome(): Home {
        homeCount++
        val suffix = if (homeCount == 1) "" else "r$homeCount"
        val id = HomeId(self.place, self.name, Incarnation(self.incarnation.value + suffix))
        return Home(HomeComponents(environment, id, peers, directory, background, gates, ::evict), background)
    }

    private fun programRequests() = ProgramRequests(home, inForce, directory, isLeaving)

    private fun call(call: Call): Flow<Message> =
        flow {
            val service = inForce.configuration.value?.service(call.service)
            val locator = ProgramLocator(home, self.name, directory, takeovers)
            val location = call.program?.let { locator.locate(it) } ?: LocateResult.Here
            when {
                service == null ->
                    emit(Refused(call.id, Refusals.unavailable("no service ${call.service} is in force")))
                location is LocateResult.Elsewhere -> emit(Elsewhere(call.id, location.home))
                location is LocateResult.Unknown -> emit(Refused(call.id, Refusals.homeNotFound(call)))
                call.program == null && isLeaving -> emit(Refused(call.id, Refusals.unavailable("the host is leaving")))
                else -> emitAll(home.run(service, call))
            }
        }

    private fun serveAtGate(message: Message): Flow<Message> {
        if (message is BarCall) return gate.bar(message)
        val forward = message as Forward
        val (service, upstream) =
            inForce.configuration.value?.upstreamOf(self.name)
                ?: return flowOf(Refused(forward.id, Refusals.unavailable("host ${self.name} has no upstream")))
        return gate.run(service, upstream, forward)
    }

    private suspend fun handleBudgetRequest(message: Message): Message =
        try {
            val parts = home.components
            when (message) {
                is GetProgramRoot -> parts.programStarter.findRoot(message)
                is ReserveTokens -> parts.budgets.handleReserve(message)
                is EndReservation -> parts.budgets.handleSettle(message)
                else -> Unsupported
            }
        } catch (_: HomeEndedException) {
            Declined("the home was taken over", RETRY_DELAY)
        }

    private fun retain(retain: RetainRecords): Message {
        val isKept = retained.retain(retain.home, retain.committed, retain.records)
        return if (isKept) Done else Declined("the home has ended or there is no room", RETRY_DELAY)
    }

    private fun fence(fence: FenceHome): Message {
        fences.recordTakeover(fence.home, fence.successor)
        directory.recordSuccessor(fence.home, fence.successor)
        if (fence.home == home.id) home.markEnded(fence.successor)
        val isKnown = retained.hasRetained(fence.home)
        return FencedHomeRecords(fence.home, retained.end(fence.home), isKnown)
    }

    private suspend fun evict(evict: EvictProgram): Message {
        val configuration =
            inForce.configuration.value ?: return Declined("no configuration is in force yet", RETRY_DELAY)
        val (service, upstream) = configuration.upstreamOf(self.name) ?: return Done
        if (service.kind != ServiceKind.MODEL) return Done
        this.upstream.programEnded(evict.program)
        val isEvicted = gate.evict(upstream, evict.program)
        return if (isEvicted) Done else Declined("the engine did not acknowledge the eviction", RETRY_DELAY)
    }

    private fun status() =
        HostStatus(
            self,
            isLeaving,
            queued = upstream.state().queued,
            running = gate.calls,
            inForce.generation,
            home = home.id,
            upstream = upstream.state(),
        )

    private suspend fun expireLedger() {
        while (true) {
            delay(LEDGER_EXPIRY_PERIOD)
            gate.expire()
        }
    }

    private fun configuration(request: GetConfiguration): Flow<Message> {
        val configuration = inForce.configuration.value
        if (configuration == null || configuration.generation <= request.above) return flowOf()
        return flowOf(ConfigurationText(configuration.generation, ConfigurationCodec.toJson(configuration)))
    }

    private companion object {
        val RETRY_DELAY: Duration = 1.seconds

        /** How often a stopping daemon checks whether the calls at its upstream have ended. */
        val DRAIN_CHECK_PERIOD: Duration = 0.05.seconds

        /** Gives the last replies that were written time to leave the process before it exits. */
        val LAST_REPLIES_DELAY: Duration = 0.5.seconds
        val LEDGER_EXPIRY_PERIOD: Duration = 30.seconds
    }
}
