package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.coroutineScope
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
import sycamore.daemon.InvalidEntries
import sycamore.daemon.accounts.AccountClocks
import sycamore.daemon.bindWatchAge
import sycamore.daemon.homes.HomeList
import sycamore.daemon.homes.homeEntry
import sycamore.daemon.log.event
import sycamore.decisions.accounts.QuotaBounds
import sycamore.decisions.pace.LearnedPace
import sycamore.decisions.turns.Distance
import sycamore.forwarding.CallUpstream
import sycamore.links.AskCredit
import sycamore.links.ClaimLimits
import sycamore.links.ClaimPartitions
import sycamore.links.CountTokens
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.FindTurn
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import sycamore.links.GetPrompt
import sycamore.links.HomeEndpoint
import sycamore.links.HomeTakenOver
import sycamore.links.LinkException
import sycamore.links.LocateProgram
import sycamore.links.Message
import sycamore.links.Prompt
import sycamore.links.RegisterProgram
import sycamore.links.ReportedPace
import sycamore.links.RunPrompt
import sycamore.links.RunTurn
import sycamore.links.TakeOverHome
import sycamore.links.TurnComplete
import sycamore.links.TurnFound
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.UnregisterPrograms
import sycamore.links.Unsupported
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.platform.HostSettings
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.WatchTimings
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.CoroutineContext
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** The daemon on the host of an engine: it is the home of programs and the gate of the engine. */
class HomeDaemon(
    private val settings: HostSettings,
    private val keys: KeyValue,
    private val exchange: Exchange,
    callUpstream: CallUpstream,
    private val registry: MeterRegistry,
    context: CoroutineContext,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    wallClock: Clock = Clock.System,
) {
    private val scope = CoroutineScope(context + SupervisorJob(context[Job]) + CoroutineExceptionHandler(::logFailure))
    private val meters = TurnMeters(registry)
    private val copies = RecordCopies(settings.maxLostDisks)
    private val gate = EngineGate(time)
    private val registrations = EngineRegistrations(keys, settings.bounds.drainTime, time)
    private val prompts =
        PromptSender(settings.upstream, gate, callUpstream, exchange, registrations::hasLeftSince, time)
    private val retainers =
        RetainerDirectory(
            keys.unhurried,
            InvalidEntries("retainer", registry),
            settings.name,
            copies,
            ::distance,
            exchange,
            time,
            named = { home.journal.namedRetainers.value },
            isActive = { home.journal.hasUncommitted },
            onChange = { home.journal.onRetainersChanged() },
        )
    private val clocks = AccountClocks(time, wallClock)
    private val quotaBounds =
        with(settings.bounds) { QuotaBounds(quotaWindow, quotaOverage, quotaSlack) }
    private val homes =
        HomeList(
            keys,
            InvalidEntries("home", registry),
            WatchTimings(wait = settings.bounds.stableTime * HOMES_WAIT_SHARE, confirms = true),
            time,
            reading = { clocks.now().elapsed },
        )
    private val takeovers = HomeTakeovers(keys, exchange, copies, scope, meters, time, { isLeaving }) { home }
    private val spent = SpentPrograms(keys, scope)
    private val answers = AnswerMemory(Runtime.getRuntime().maxMemory() / ANSWER_MEMORY_DIVISOR)
    private val runningTurns = AtomicInteger()

    /** The number of turns of other homes that are at this gate or its engine. */
    private val runningPrompts = AtomicInteger()

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
            is RunTurn -> flow { runTurn(message) }
            is RunPrompt -> flow { runPrompt(message) }
            is GetGateStatus -> flowOf(gateStatus())
            is FindTurn -> flowOf(findTurn(message))
            is LocateProgram -> flowOf(home.directory.locate(message))
            is RegisterProgram -> flowOf(home.directory.register(message))
            is ClaimPartitions -> flowOf(home.let { it.registrations.answerClaim(message, isComplete(it)) })
            is UnregisterPrograms -> flowOf(Done.also { home.directory.forget(message) })
            is CountTokens -> flow { emit(countTokens(message)) }
            is GetPrompt -> flowOf(Prompt(home.table.promptAfter(message.account, message.turn)))
            is TakeOverHome -> flow { emit(takeovers.takeOver(message)) }
            is AskCredit -> flow { emit(home.limits.answer(message)) }
            is ClaimLimits -> flow { emit(home.limits.answerClaim(message)) }
            else -> flowOf(Unsupported)
        }

    /** Runs the background work of the daemon until cancelled. Fails if the registrations can no longer be followed. */
    suspend fun run() =
        coroutineScope {
            val followers = listOf(launch { retainers.run() }, launch { homes.run() })
            runHomes()
            followers.forEach { it.cancel() }
        }

    private suspend fun runHomes() {
        registry.bindWatchAge("homes", homes::age)
        meters.registerGauge(TurnMeters.RUNNING) { gate.running }
        meters.registerGauge(TurnMeters.WAITING) { gate.waiting }
        meters.registerGauge(TurnMeters.TOKEN_MICROS) {
            prompts.pace
                ?.tokenTime
                ?.inWholeMicroseconds
                ?.toInt() ?: 0
        }
        meters.registerGauge(TurnMeters.SLOWDOWN) { ((prompts.pace?.slowdown ?: 1.0) * PERCENT).toInt() }
        meters.registerGauge(TurnMeters.PROGRAMS) { home.table.size }
        meters.registerGauge(TurnMeters.ACCOUNTS) { home.limits.accounts }
        while (!isLeaving) {
            val current = home
            val formerTakeovers = scope.launch { takeovers.takeOverFormerHomes(current.id) }
            current.run()
            formerTakeovers.cancel()
            if (!isLeaving) home = newHome()
        }
    }

    /**
     * Stops gracefully within [timeout]: refuses turns that have not been sent to an engine, waits for the others, hands the programs
     * over to another home, and waits for turns of other homes at this engine.
     */
    suspend fun stop(timeout: Duration) {
        val end = time.markNow() + timeout
        isLeaving = true
        gate.close()
        withTimeoutOrNull(timeout - timeout / HANDOVER_SHARE) { awaitNone(runningTurns) }
        // The only home that could take over the programs may still be starting, so the handover is retried.
        val isDone = withTimeoutOrNull(-end.elapsedNow()) { while (!handOver()) delay(HANDOVER_RETRY_DELAY) }
        if (isDone == null) log.warn { "no home has taken over the programs of ${home.id} within the grace period" }
        withTimeoutOrNull(-end.elapsedNow()) {
            awaitNone(runningTurns)
            awaitNone(runningPrompts)
        }
        delay(LAST_REPLIES_DELAY)
    }

    private suspend fun awaitNone(running: AtomicInteger) {
        while (running.get() > 0) delay(DRAIN_CHECK_INTERVAL)
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
            settings.store.maxValueBytes,
            retainers,
            spent,
            exchange,
            homes,
            ::isComplete,
            { takeovers.isAdopting },
            ::takeOverIfLost,
            quotaBounds,
            clocks,
            time,
        )
    }

    private suspend fun FlowCollector<Message>.runTurn(call: RunTurn) {
        // Counted before the check, so that a stop that begins in between waits for the turn.
        runningTurns.incrementAndGet()
        try {
            val home = home
            if (!home.isReady || isLeaving) {
                val reason = if (isLeaving) "the host is leaving" else "the home is not registered yet"
                return emit(TurnRefused(TurnRefusal.NOT_HERE, reason))
            }
            val runner =
                TurnRunner(home, prompts::send, registrations::hasLeftSince, exchange, spent, answers, meters, time)
            val replies = runner.run(call)
            emitAll(replies.map { if (it is TurnComplete) it.copy(load = gateStatus()) else it })
        } finally {
            runningTurns.decrementAndGet()
        }
    }

    /** Runs a turn of another home at the engine of this host. */
    private suspend fun FlowCollector<Message>.runPrompt(message: RunPrompt) {
        runningPrompts.incrementAndGet()
        try {
            val replies = prompts.sendToLocalEngine(message.call, message.prompt)
            emitAll(replies.map { if (it is TurnComplete) TurnComplete(targetLoad = gateStatus()) else it })
        } finally {
            runningPrompts.decrementAndGet()
        }
    }

    private fun gateStatus(): GateStatus =
        GateStatus(
            home.id,
            home.isReady && !isLeaving,
            gate.running,
            gate.waiting,
            gate.expectedWait,
            (prompts.pace ?: LearnedPace(Duration.ZERO)).toReport(),
        )

    private fun LearnedPace.toReport() =
        ReportedPace(tokenTime, loadShare, firstTime, readTime, slowdown, tokens, samples)

    private fun findTurn(message: FindTurn): TurnFound {
        val home = home
        // Checked before the search: a takeover that ends during the search may have added the turn.
        val isComplete = isComplete(home)
        val table = home.table
        return TurnFound(
            home = home.id,
            hasTurn = table.programOfCompleteTurn(message.account, message.turn) != null,
            isComplete = isComplete,
            isOfOtherAccount = table.isOfOtherAccount(message.account, message.turn),
        )
    }

    /** Whether [home] has adopted all programs of the homes that it takes over. */
    private fun isComplete(home: TurnHome): Boolean = home.isReady && !takeovers.hasPending

    /** Takes over [other], which has not responded, unless it turns out to be serving. */
    private fun takeOverIfLost(other: HomeEndpoint) {
        scope.launch { takeovers.takeOver(TakeOverHome(other)) }
    }

    /** Counts tokens that another home has passed on to the caller of a program of this home. */
    private suspend fun countTokens(message: CountTokens): Message {
        val home = home
        if (!home.isReady) return Declined("${home.id} is not ready")
        return try {
            if (home.countTokens(message)) Done else Declined("the tokens could not be kept in time")
        } catch (e: HomeEndedException) {
            Declined(e.message!!)
        }
    }

    /** Hands the programs over to another home. Returns false if no home can take them over now. */
    private suspend fun handOver(): Boolean {
        val current = home
        if (!current.isReady || current.table.size == 0) return true
        val others = otherHomes(current)
        for (other in others) {
            val request = TakeOverHome(HomeEndpoint(current.id, current.address), isVoluntary = true)
            val reply =
                try {
                    withTimeoutOrNull(HANDOVER_TIMEOUT) { exchange(other.address, request).firstOrNull() }
                } catch (e: LinkException) {
                    log.info { "home ${other.home} cannot be reached to hand the programs over: ${e.message}" }
                    null
                }
            if (reply is HomeTakenOver) {
                log.event("home-handed-over", "home" to current.id, "successor" to reply.successor.home)
                current.journal.markEnded(reply.successor.home)
                return true
            }
        }
        return false
    }

    /** The registered homes of other hosts that have not been taken over, those in the same place first. */
    private suspend fun otherHomes(current: TurnHome): List<HomeEntry> {
        val read = keys.list(HomeKeys.PREFIX) as? ReadResult.Found ?: return emptyList()
        return read.value
            .mapNotNull { it.homeEntry() }
            .filter { it.successor == null && it.home != current.id && it.home.host != settings.name }
            .sortedBy { if (it.home.place == settings.place.name) 0 else 1 }
    }

    private fun logFailure(
        @Suppress("UNUSED_PARAMETER") context: CoroutineContext,
        cause: Throwable,
    ) {
        if (cause is HomeEndedException) {
            log.info { cause.message!! }
        } else {
            log.error(cause) { "background work of the daemon failed" }
        }
    }

    private companion object {
        /** The share of the stable time for which the watch of the registrations of homes waits. */
        const val HOMES_WAIT_SHARE = 0.6
        const val PERCENT = 100

        /**
         * One part in this many of the heap may hold answers that are being received. Their buffers take up to three times the size of
         * the answers while they grow.
         */
        const val ANSWER_MEMORY_DIVISOR = 16

        /** How often a stopping daemon checks whether the turns in progress have ended. */
        val DRAIN_CHECK_INTERVAL = 20.milliseconds

        /** The handover gets at least one part in this many of the time of a stop. */
        const val HANDOVER_SHARE = 4

        /** Limit of one attempt to hand the programs over to one home. */
        val HANDOVER_TIMEOUT: Duration = 1500.milliseconds

        val HANDOVER_RETRY_DELAY = 100.milliseconds

        /** Gives the last replies that were written time to leave the process before it exits. */
        val LAST_REPLIES_DELAY = 0.2.seconds
    }
}
