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
import sycamore.links.AskConfiguration
import sycamore.links.AskRoot
import sycamore.links.AskStatus
import sycamore.links.AskWhy
import sycamore.links.BarCall
import sycamore.links.Call
import sycamore.links.ConfigurationText
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.Elsewhere
import sycamore.links.EndProgram
import sycamore.links.EvictProgram
import sycamore.links.FenceHome
import sycamore.links.ForgetHome
import sycamore.links.Forward
import sycamore.links.HostStatus
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.links.Reserve
import sycamore.links.Retain
import sycamore.links.RetainedOf
import sycamore.links.Settle
import sycamore.links.ShowProgram
import sycamore.links.StartProgram
import sycamore.links.TakeOver
import sycamore.links.Unsupported
import sycamore.links.Why
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ServiceKind
import sycamore.programs.CallLedger
import sycamore.programs.Fences
import sycamore.programs.RetainedRecords
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The daemon beside one upstream: gate of that upstream and home of programs. */
class HostDaemon internal constructor(
    private val world: HostWorld,
) {
    private val self = world.self
    private val inForce = world.inForce
    private val members = world.members
    private val background = Background()
    private val directory = Directory(world.keys)
    private val peers = Peers(self.name, members, world.exchange)
    private val fences = Fences()
    private val retained = RetainedRecords()
    private val upstream = OwnUpstream(world)
    private val ledger = CallLedger<LedgerCall>(time = world.time)
    private val gate =
        Gate(
            self,
            upstream.engine,
            upstream.service,
            world.evictCache,
            ledger,
            fences,
            background,
            upstream::admit,
        )
    private val gates = Gates(self, members, peers, ::atOwnGate) { upstream.isAccepting }
    private val collection = RetainedCollection(self.name, members, peers, retained)
    private val takeovers = Takeovers(self.name, world.keys, peers, directory, collection, background) { home }
    private val recovery = Recovery(self.name, world.keys, fences, directory, takeovers)
    private val handOver = HandOver(members, peers, inForce, self.name)
    private var homes = 0

    @Volatile
    private var home = newHome()

    @Volatile
    private var isLeaving = false

    /** Answers a message of another daemon. */
    fun serve(
        @Suppress("UNUSED_PARAMETER") from: HostName,
        message: Message,
    ): Flow<Message> =
        when (message) {
            is Call -> call(message)
            is Forward, is BarCall -> atOwnGate(message)
            is StartProgram, is ShowProgram, is EndProgram -> flow { emit(callers().answer(message)) }
            is AskConfiguration -> configuration(message)
            is AskStatus -> flowOf(status())
            is Retain -> flowOf(retain(message))
            is FenceHome -> flowOf(fence(message))
            is ForgetHome -> flowOf(Done.also { retained.drop(message.home) })
            is TakeOver -> flow { emit(takeovers.takeOver(message)) }
            is AskRoot, is Reserve, is Settle -> flow { emit(aboutRoot(message)) }
            is EvictProgram -> flow { emit(evict(message)) }
            is AskWhy -> flowOf(Why(message.program, upstream.decisionsOn(message.program)))
            else -> flowOf(Unsupported)
        }

    /** Does the daemon's background work until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { background.run() }
            launch { upstream.run() }
            launch { recovery.loadFences() }
            launch { expireLedger() }
            while (true) {
                val current = home
                launch { recovery.announce(current.id) }
                current.run()
                home = newHome()
            }
        }
    }

    /**
     * Stops in the planned way: takes no new work, hands its programs to a successor, and returns once the calls at its
     * upstream are answered.
     */
    suspend fun stop() {
        isLeaving = true
        gate.isLeaving = true
        handOver.run(home)
        while (gate.calls > 0) delay(DRAIN_CHECK)
        delay(LAST_REPLIES)
    }

    /** The load of this host's upstream at this moment. */
    fun load(): Load {
        val upstream =
            inForce.configuration.value
                ?.upstreamOf(self.name)
                ?.second
        return Load(queued = 0, running = gate.calls, capacity = upstream?.capacity ?: 0)
    }

    private fun newHome(): Home {
        homes++
        val suffix = if (homes == 1) "" else "r$homes"
        val id = HomeId(self.place, self.name, Incarnation(self.incarnation.value + suffix))
        return Home(HomeParts(world, id, peers, directory, background, gates, ::evict), background)
    }

    private fun callers() = ProgramRequests(home, inForce, directory, isLeaving)

    private fun call(call: Call): Flow<Message> =
        flow {
            val service = inForce.configuration.value?.service(call.service)
            val locator = Locator(home, self.name, directory, takeovers)
            val place = call.program?.let { locator.locate(it) } ?: Located.Here
            when {
                service == null ->
                    emit(
                        Refused(call.id, Refusals.unavailable("no service ${call.service} is in force")),
                    )
                place is Located.Elsewhere -> emit(Elsewhere(call.id, place.home))
                place is Located.Unknown -> emit(Refused(call.id, Refusals.homeNotFound(call)))
                call.program == null && isLeaving -> emit(Refused(call.id, Refusals.unavailable("the host is leaving")))
                else -> emitAll(home.run(service, call))
            }
        }

    private fun atOwnGate(message: Message): Flow<Message> {
        if (message is BarCall) return gate.bar(message)
        val forward = message as Forward
        val (service, upstream) =
            inForce.configuration.value?.upstreamOf(self.name)
                ?: return flowOf(Refused(forward.id, Refusals.unavailable("host ${self.name} has no upstream")))
        return gate.run(service, upstream, forward)
    }

    private suspend fun aboutRoot(message: Message): Message =
        try {
            val parts = home.recovery
            when (message) {
                is AskRoot -> parts.starts.root(message)
                is Reserve -> parts.budgets.answer(message)
                is Settle -> parts.budgets.answer(message)
                else -> Unsupported
            }
        } catch (_: HomeEnded) {
            Declined("the home was taken over", RETRY)
        }

    private fun retain(retain: Retain): Message {
        val isKept = retained.keep(retain.home, retain.committed, retain.records)
        return if (isKept) Done else Declined("the home has ended or there is no room", RETRY)
    }

    private fun fence(fence: FenceHome): Message {
        fences.end(fence.home, fence.successor)
        directory.learn(fence.home, fence.successor)
        if (fence.home == home.id) home.end(fence.successor)
        val isKnown = retained.knows(fence.home)
        return RetainedOf(fence.home, retained.end(fence.home), isKnown)
    }

    private suspend fun evict(evict: EvictProgram): Message {
        val configuration = inForce.configuration.value ?: return Declined("no configuration is in force yet", RETRY)
        val (service, upstream) = configuration.upstreamOf(self.name) ?: return Done
        if (service.kind != ServiceKind.MODEL) return Done
        this.upstream.programEnded(evict.program)
        val isEvicted = gate.evict(upstream, evict.program)
        return if (isEvicted) Done else Declined("the engine did not acknowledge the eviction", RETRY)
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
            delay(EXPIRY_PERIOD)
            gate.expire()
        }
    }

    private fun configuration(ask: AskConfiguration): Flow<Message> {
        val configuration = inForce.configuration.value
        if (configuration == null || configuration.generation <= ask.above) return flowOf()
        return flowOf(ConfigurationText(configuration.generation, ConfigurationCodec.text(configuration)))
    }

    private companion object {
        val RETRY: Duration = 1.seconds
        val DRAIN_CHECK: Duration = 0.05.seconds
        val LAST_REPLIES: Duration = 0.5.seconds
        val EXPIRY_PERIOD: Duration = 30.seconds
    }
}
