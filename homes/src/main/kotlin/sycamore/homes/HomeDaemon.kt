package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.homes.HomeList
import sycamore.daemon.log.event
import sycamore.decisions.turns.Distance
import sycamore.forwarding.CallUpstream
import sycamore.links.AskGate
import sycamore.links.AskPrompt
import sycamore.links.ClaimPartitions
import sycamore.links.CountTokens
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.FindTurn
import sycamore.links.ForgetPrograms
import sycamore.links.GateStatus
import sycamore.links.HomeAt
import sycamore.links.HomeTaken
import sycamore.links.LinkException
import sycamore.links.LocateProgram
import sycamore.links.Message
import sycamore.links.Prompt
import sycamore.links.RegisterProgram
import sycamore.links.RunPrompt
import sycamore.links.RunTurn
import sycamore.links.TakeHome
import sycamore.links.TurnFound
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.TurnWhole
import sycamore.links.Unsupported
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.platform.HostSettings
import sycamore.services.KeyValue
import sycamore.services.Read
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** The daemon beside an engine: home of programs, and gate of the engine. */
class HomeDaemon(
    private val settings: HostSettings,
    private val keys: KeyValue,
    private val exchange: Exchange,
    callUpstream: CallUpstream,
    registry: MeterRegistry,
    context: CoroutineContext,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val scope = CoroutineScope(context + SupervisorJob(context[Job]) + CoroutineExceptionHandler(::failed))
    private val meters = TurnMeters(registry)
    private val copies = RecordCopies(settings.maxLostDisks)
    private val gate = EngineGate(time)
    private val gates = GateRunner(settings.upstream, gate, callUpstream, exchange, time)
    private val retainers =
        RetainerDirectory(
            keys,
            settings.name,
            copies,
            ::distance,
            exchange,
            time,
            named = { home.journal.named.value },
            isActive = { home.journal.hasUncommitted },
            changed = { home.journal.check() },
        )
    private val homes = HomeList(keys)
    private val takeovers = HomeTakeovers(keys, exchange, copies, scope, meters, time) { home }
    private val spent = SpentPrograms(keys, scope)
    private val turns = AtomicInteger()

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
            is RunTurn -> flow { run(message) }
            is RunPrompt -> gates.atOwn(message.call, message.prompt)
            is AskGate -> flowOf(status())
            is FindTurn -> flowOf(find(message))
            is LocateProgram -> flowOf(home.directory.locate(message))
            is RegisterProgram -> flowOf(home.directory.register(message))
            is ClaimPartitions -> flowOf(home.let { it.registrations.answer(message, isComplete(it)) })
            is ForgetPrograms -> flowOf(Done.also { home.directory.forget(message) })
            is CountTokens -> flow { emit(count(message)) }
            is AskPrompt -> flowOf(Prompt(home.table.promptAfter(message.turn)))
            is TakeHome -> flow { emit(takeovers.take(message)) }
            else -> flowOf(Unsupported)
        }

    /** Does the daemon's background work until cancelled. */
    suspend fun run() {
        meters.show(TurnMeters.RUNNING) { gate.running }
        meters.show(TurnMeters.WAITING) { gate.waiting }
        meters.show(TurnMeters.PROGRAMS) { home.table.size }
        scope.launch { retainers.run() }
        scope.launch { homes.run() }
        while (!isLeaving) {
            val current = home
            val taking = scope.launch { takeovers.takeFormer(current.id) }
            current.run()
            taking.cancel()
            if (!isLeaving) home = newHome()
        }
    }

    /** Stops in the planned way: takes no new turns, ends those under way, and hands its programs to another home. */
    suspend fun stop() {
        isLeaving = true
        withTimeoutOrNull(settings.bounds.gracePeriod / 2) { while (turns.get() > 0) delay(CHECK) }
        // A home that would take the programs may just be starting.
        val isDone = withTimeoutOrNull(settings.bounds.gracePeriod / 4) { while (!handOver()) delay(HAND_OVER_PAUSE) }
        if (isDone == null) log.warn { "no home took over the programs of ${home.id}" }
        delay(LAST_REPLIES)
    }

    private fun distance(place: PlaceName): Distance = Distance.between(settings.place, place, settings.places)

    private fun newHome(): TurnHome {
        val id = HomeId(settings.place.name, settings.name, Incarnation.random())
        return TurnHome(
            id,
            settings.links,
            copies,
            ::distance,
            keys,
            retainers,
            spent,
            exchange,
            homes,
            ::isComplete,
            ::suspect,
            time,
        )
    }

    private suspend fun FlowCollector<Message>.run(call: RunTurn) {
        val home = home
        if (!home.isReady || isLeaving) {
            val reason = if (isLeaving) "the host is leaving" else "the home is not registered yet"
            return emit(TurnRefused(TurnRefusal.NOT_HERE, reason))
        }
        turns.incrementAndGet()
        try {
            val replies = TurnRunner(home, gates::send, exchange, spent, meters, time).run(call)
            emitAll(replies.map { if (it is TurnWhole) TurnWhole(status()) else it })
        } finally {
            turns.decrementAndGet()
        }
    }

    private fun status(): GateStatus =
        GateStatus(home.id, home.isReady && !isLeaving, gate.running, gate.waiting, gate.expectedWait)

    private fun find(message: FindTurn): TurnFound =
        home.let { TurnFound(it.id, it.table.programWithWhole(message.turn) != null, isComplete(it)) }

    /** Whether [home] has all programs of the homes that it takes over. */
    private fun isComplete(home: TurnHome): Boolean = home.isReady && !takeovers.isBusy

    /** [other] did not answer, and is taken over unless it lives. */
    private fun suspect(other: HomeAt) {
        scope.launch { takeovers.take(TakeHome(other)) }
    }

    /** Counts tokens that another home handed out. */
    private suspend fun count(message: CountTokens): Message {
        val home = home
        if (!home.isReady) return Declined("${home.id} is not ready")
        return try {
            if (home.count(message)) Done else Declined("the tokens could not be kept in time")
        } catch (e: HomeEndedException) {
            Declined(e.message!!)
        }
    }

    /** Hands the programs to another home; false when none takes them now. */
    private suspend fun handOver(): Boolean {
        val current = home
        if (!current.isReady || current.table.size == 0) return true
        val others = otherHomes(current)
        for (other in others) {
            val order = TakeHome(HomeAt(current.id, current.address), isWilling = true)
            val reply =
                try {
                    withTimeoutOrNull(HAND_OVER_LIMIT) { exchange(other.address, order).firstOrNull() }
                } catch (e: LinkException) {
                    log.info { "${other.home} cannot take over: ${e.message}" }
                    null
                }
            if (reply is HomeTaken) {
                log.event("home-handed-over", "home" to current.id, "successor" to reply.successor.home)
                current.journal.end(reply.successor.home)
                return true
            }
        }
        return false
    }

    /** Homes that serve, those of this place first. */
    private suspend fun otherHomes(current: TurnHome): List<HomeEntry> {
        val read = keys.list(HomeKeys.PREFIX) as? Read.Found ?: return emptyList()
        return read.value
            .mapNotNull { it.value?.let(HomeKeys::decode) }
            .filter { it.successor == null && it.home != current.id && it.home.host != settings.name }
            .sortedBy { if (it.home.place == settings.place.name) 0 else 1 }
    }

    private fun failed(
        @Suppress("UNUSED_PARAMETER") context: CoroutineContext,
        cause: Throwable,
    ) {
        if (cause is HomeEndedException) {
            log.info { cause.message!! }
        } else {
            log.error(
                cause,
            ) { "work of the daemon failed" }
        }
    }

    private companion object {
        val CHECK = 20.milliseconds
        val HAND_OVER_LIMIT: Duration = 1500.milliseconds

        val HAND_OVER_PAUSE = 100.milliseconds

        /** What was written last leaves the process within this time. */
        val LAST_REPLIES = 0.2.seconds
    }
}
