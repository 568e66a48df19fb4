package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.flow.transformWhile
import kotlinx.coroutines.launch
import sycamore.daemon.Background
import sycamore.daemon.homes.HomeList
import sycamore.daemon.log.event
import sycamore.decisions.programs.ProgramPartitions
import sycamore.links.Exchange
import sycamore.links.FindTurn
import sycamore.links.HomeEndpoint
import sycamore.links.HomeTakenOver
import sycamore.links.LocateProgram
import sycamore.links.ProgramLocation
import sycamore.links.TakeOverHome
import sycamore.links.TurnFound
import sycamore.links.ask
import sycamore.model.CallerName
import sycamore.model.HomeId
import sycamore.model.PlaceName
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** The result of looking up the home for a program's next turn. */
internal sealed interface HomeLookup {
    /** The program is served by [home]. */
    data class Found(
        val home: HomeEndpoint,
    ) : HomeLookup

    /**
     * The program is new and has no home yet.
     *
     * @property previousAt the home of the turn that its first turn continues; null if it continues none.
     */
    data class NewProgram(
        val previousAt: HomeEndpoint?,
    ) : HomeLookup

    /** The turn to be continued does not exist. */
    data object NoSuchTurn : HomeLookup

    /** The home cannot be determined at present. */
    data class Unavailable(
        val reason: String,
    ) : HomeLookup
}

/** Finds the homes of programs, and requests the takeover of lost homes. */
internal class ProgramHomes(
    private val place: PlaceName,
    private val engineHosts: EngineDirectory,
    private val list: HomeList,
    private val exchange: Exchange,
    private val background: Background,
    private val time: TimeSource.WithComparableMarks,
) {
    private class KnownHome(
        val home: HomeEndpoint,
        val recordedAt: ComparableTimeMark,
    )

    /** The reply of one home to the search for a turn. */
    private class SearchReply(
        val home: HomeEndpoint,
        val result: TurnFound,
    )

    private val knownHomes = ConcurrentHashMap<ProgramName, KnownHome>()
    private val takeovers = ConcurrentHashMap<HomeId, CompletableDeferred<HomeEndpoint?>>()

    /** The current home of [program]; null if none is recorded. */
    fun knownHome(program: ProgramName): HomeEndpoint? = knownHomes[program]?.let { list.view.currentHome(it.home) }

    /** Records that [program] is served by [home]. */
    fun recordHome(
        program: ProgramName,
        home: HomeEndpoint,
    ) {
        knownHomes[program] = KnownHome(home, time.markNow())
    }

    /** Removes the recorded home of [program], which turned out to be wrong. */
    fun forgetHome(program: ProgramName) {
        knownHomes.remove(program)
    }

    /** Evicts the homes of programs that have had no call for [IDLE_RETENTION]. */
    fun evictIdle() {
        knownHomes.values.removeIf { it.recordedAt.elapsedNow() > IDLE_RETENTION }
    }

    /**
     * Looks up [program], whose next turn continues [previous], in the directory. If the program is new or the
     * directory does not respond, all homes are searched for that turn of the program's account.
     */
    suspend fun locate(
        program: ProgramName,
        previous: AttemptId,
    ): HomeLookup {
        val owner = list.view.ownerOf(ProgramPartitions.partitionOf(program.value))
        val reply = owner?.let { exchange.ask(it.address, LocateProgram(program), FIND_TIMEOUT) }
        if (owner != null && reply == null) {
            log.event("directory-not-heard", "program" to program, "home" to owner.home)
            background.launch("taking over ${owner.home}") { takeOver(owner) }
        }
        if (reply !is ProgramLocation) list.recheck()
        val home = (reply as? ProgramLocation)?.home
        if (home != null) {
            recordHome(program, home)
            return HomeLookup.Found(home)
        }
        val found = findTurn(program.account, previous)
        return if (reply is ProgramLocation && found is HomeLookup.Found) HomeLookup.NewProgram(found.home) else found
    }

    /**
     * Searches all homes for [turn] of [account]. A turn of another account does not exist for it, which is certain
     * once one home has that turn.
     */
    suspend fun findTurn(
        account: CallerName?,
        turn: AttemptId,
    ): HomeLookup {
        val homes = list.serving
        val replies = searchAll(homes, FindTurn(turn, account))
        replies.firstOrNull { it.result.hasTurn }?.let { return HomeLookup.Found(it.home) }
        if (replies.any { it.result.isOfOtherAccount }) return HomeLookup.NoSuchTurn
        val isSearched = list.isLoaded && isComplete(homes, replies)
        return if (isSearched) confirmMissing(replies) else recover(turn, homes, replies)
    }

    private fun isComplete(
        homes: List<HomeEndpoint>,
        replies: List<SearchReply>,
    ): Boolean {
        val complete = replies.filter { it.result.isComplete }.map { it.home.home }.toSet()
        return homes.all { it.home in complete }
    }

    /**
     * Decides whether a turn that no home reported does not exist. This is certain only if all homes that are
     * registered now have been searched, so their list is read anew.
     */
    private suspend fun confirmMissing(replies: List<SearchReply>): HomeLookup {
        val homes = list.readServing() ?: return HomeLookup.Unavailable("the homes cannot be listed now")
        if (isComplete(homes, replies)) return HomeLookup.NoSuchTurn
        list.recheck()
        return HomeLookup.Unavailable("a home was added")
    }

    /** Requests the takeover of those of [homes] that did not respond. */
    private suspend fun recover(
        turn: AttemptId,
        homes: List<HomeEndpoint>,
        replies: List<SearchReply>,
    ): HomeLookup {
        val answering = replies.map { it.home.home }.toSet()
        val unresponsive = homes.filter { it.home !in answering }
        if (unresponsive.isEmpty()) return HomeLookup.Unavailable("a home is still taking over another one")
        log.event("homes-not-heard", "turn" to turn, "homes" to unresponsive.map { it.home })
        list.recheck()
        coroutineScope { unresponsive.map { async { takeOver(it) } }.awaitAll() }
        return HomeLookup.Unavailable("homes do not respond: ${unresponsive.map { it.home }}")
    }

    /**
     * Requests the takeover of [lost], preferably by the home that runs on its host now. Returns the successor, or null
     * if no home can take it over at present. Concurrent requests for the same home share one takeover.
     */
    suspend fun takeOver(lost: HomeEndpoint): HomeEndpoint? {
        val present = list.view.currentHome(lost)
        if (present != lost) return present
        list.recheck()
        val result = CompletableDeferred<HomeEndpoint?>()
        val running = takeovers.putIfAbsent(lost.home, result)
        if (running != null) return running.await()
        var successor: HomeEndpoint? = null
        try {
            successor = requestTakeover(lost)
        } finally {
            takeovers.remove(lost.home)
            result.complete(successor)
        }
        return successor
    }

    private suspend fun requestTakeover(lost: HomeEndpoint): HomeEndpoint? {
        val candidates =
            list.serving
                .filter { it.home != lost.home }
                .sortedWith(
                    compareBy(
                        { it.address != lost.address },
                        { engineHosts.atAddress(it.address)?.upstream?.isLeaving != false },
                        { it.home.place != place },
                        { (lost.home.toString() + it.address).hashCode() },
                    ),
                )
        for (candidate in candidates.take(MAX_TAKEOVER_CANDIDATES)) {
            val reply = exchange.ask(candidate.address, TakeOverHome(lost), TAKEOVER_TIMEOUT)
            if (reply is HomeTakenOver) {
                list.recordTakeover(lost.home, reply.successor)
                return reply.successor
            }
        }
        return null
    }

    /**
     * Sends [search] to [homes]. Returns their replies, of which some may be missing once one home has the turn.
     */
    private suspend fun searchAll(
        homes: List<HomeEndpoint>,
        search: FindTurn,
    ): List<SearchReply> =
        channelFlow {
            homes.forEach { home -> launch { search(home, search)?.let { send(it) } } }
        }.transformWhile {
            emit(it)
            !it.result.hasTurn
        }.toList()

    /** Sends [search] to [home]. Returns null if it does not respond, or if another home serves at its address. */
    private suspend fun search(
        home: HomeEndpoint,
        search: FindTurn,
    ): SearchReply? {
        val result = exchange.ask(home.address, search, FIND_TIMEOUT) as? TurnFound
        return if (result?.home == home.home) SearchReply(home, result) else null
    }

    private companion object {
        const val MAX_TAKEOVER_CANDIDATES = 3

        /** Several times the round trip to the farthest region. */
        val FIND_TIMEOUT = 400.milliseconds

        /** Long enough for a takeover, which sends requests to the lost home, the store and the retainers. */
        val TAKEOVER_TIMEOUT = 2.seconds

        /** Longer than any route retains a turn. */
        val IDLE_RETENTION = 5.minutes
    }
}
