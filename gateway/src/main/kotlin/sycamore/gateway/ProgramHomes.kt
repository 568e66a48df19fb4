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
import sycamore.links.HomeAt
import sycamore.links.HomeTaken
import sycamore.links.LocateProgram
import sycamore.links.ProgramAt
import sycamore.links.TakeHome
import sycamore.links.TurnFound
import sycamore.links.ask
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

/** Where a program's next turn goes. */
internal sealed interface Located {
    /** It goes to [home]. */
    data class At(
        val home: HomeAt,
    ) : Located

    /**
     * The program is new.
     *
     * @property previousAt the home of the turn that it continues; null if it continues none.
     */
    data class Nowhere(
        val previousAt: HomeAt?,
    ) : Located

    /** The turn that it continues does not exist. */
    data object NoSuchTurn : Located

    /** That cannot be told now. */
    data class NotNow(
        val reason: String,
    ) : Located
}

/** Finds the homes of programs, and has lost homes taken over. */
internal class ProgramHomes(
    private val place: PlaceName,
    private val board: EngineBoard,
    private val list: HomeList,
    private val exchange: Exchange,
    private val background: Background,
    private val time: TimeSource.WithComparableMarks,
) {
    private class Known(
        val home: HomeAt,
        val at: ComparableTimeMark,
    )

    /** What one home said. */
    private class Heard(
        val home: HomeAt,
        val found: TurnFound,
    )

    private val known = ConcurrentHashMap<ProgramName, Known>()
    private val takeovers = ConcurrentHashMap<HomeId, CompletableDeferred<HomeAt?>>()

    /** The home of [program], if this process knows it. */
    fun known(program: ProgramName): HomeAt? = known[program]?.let { list.view.currentHome(it.home) }

    /** [program] lives at [home]. */
    fun learn(
        program: ProgramName,
        home: HomeAt,
    ) {
        known[program] = Known(home, time.markNow())
    }

    /** What was known of [program]'s home is wrong. */
    fun forget(program: ProgramName) {
        known.remove(program)
    }

    /** Drops programs that no call came of for long. */
    fun dropIdle() {
        known.values.removeIf { it.at.elapsedNow() > KEEP }
    }

    /**
     * Asks the directory for [program], whose turn continues [previous]. All homes are asked for that turn if the program is
     * new, or if the directory cannot tell.
     */
    suspend fun locate(
        program: ProgramName,
        previous: AttemptId,
    ): Located {
        val owner = list.view.ownerOf(ProgramPartitions.of(program.value))
        val reply = owner?.let { exchange.ask(it.address, LocateProgram(program), FIND_LIMIT) }
        if (owner != null && reply == null) {
            log.event("directory-not-heard", "program" to program, "home" to owner.home)
            background.launch("taking over ${owner.home}") { takeOver(owner) }
        }
        val home = (reply as? ProgramAt)?.home
        if (home != null) {
            learn(program, home)
            return Located.At(home)
        }
        val found = findTurn(previous)
        return if (reply is ProgramAt && found is Located.At) Located.Nowhere(found.home) else found
    }

    /** Asks all homes which of them has [turn]. */
    suspend fun findTurn(turn: AttemptId): Located {
        val serving = list.serving
        val heard = askAll(serving, turn)
        heard.firstOrNull { it.found.hasTurn }?.let { return Located.At(it.home) }
        return if (list.isLoaded && isComplete(serving, heard)) settleMissing(heard) else recover(turn, serving, heard)
    }

    private fun isComplete(
        serving: List<HomeAt>,
        heard: List<Heard>,
    ): Boolean {
        val complete = heard.filter { it.found.isComplete }.map { it.home.home }.toSet()
        return serving.all { it.home in complete }
    }

    /** Nobody has the turn. It does not exist if the homes that were asked are all that there are. */
    private suspend fun settleMissing(heard: List<Heard>): Located {
        val serving = list.readServing() ?: return Located.NotNow("the homes cannot be listed now")
        return if (isComplete(serving, heard)) Located.NoSuchTurn else Located.NotNow("a home has come up meanwhile")
    }

    /** Has the homes of [serving] that are not heard taken over. */
    private suspend fun recover(
        turn: AttemptId,
        serving: List<HomeAt>,
        heard: List<Heard>,
    ): Located {
        val answering = heard.map { it.home.home }.toSet()
        val silent = serving.filter { it.home !in answering }
        if (silent.isEmpty()) return Located.NotNow("a home is still taking over another one")
        log.event("homes-not-heard", "turn" to turn, "homes" to silent.map { it.home })
        coroutineScope { silent.map { async { takeOver(it) } }.awaitAll() }
        return Located.NotNow("homes that are not heard: ${silent.map { it.home }}")
    }

    /** Has [lost] taken over, by its own host if that is back, or by another one; null when none can do so now. */
    suspend fun takeOver(lost: HomeAt): HomeAt? {
        val present = list.view.currentHome(lost)
        if (present != lost) return present
        val result = CompletableDeferred<HomeAt?>()
        val other = takeovers.putIfAbsent(lost.home, result)
        if (other != null) return other.await()
        var successor: HomeAt? = null
        try {
            successor = order(lost)
        } finally {
            takeovers.remove(lost.home)
            result.complete(successor)
        }
        return successor
    }

    private suspend fun order(lost: HomeAt): HomeAt? {
        val candidates =
            list.serving
                .filter { it.home != lost.home }
                .sortedWith(
                    compareBy(
                        { it.address != lost.address },
                        { board.at(it.address)?.upstream?.isLeaving != false },
                        { it.home.place != place },
                        { (lost.home.toString() + it.address).hashCode() },
                    ),
                )
        for (candidate in candidates.take(MAX_CANDIDATES)) {
            val reply = exchange.ask(candidate.address, TakeHome(lost), TAKE_LIMIT)
            if (reply is HomeTaken) {
                list.recordTakeover(lost.home, reply.successor)
                return reply.successor
            }
        }
        return null
    }

    /** What [homes] say of [turn]: all that answered, or less once one of them has it. */
    private suspend fun askAll(
        homes: List<HomeAt>,
        turn: AttemptId,
    ): List<Heard> =
        channelFlow {
            homes.forEach { home -> launch { hear(home, turn)?.let { send(it) } } }
        }.transformWhile {
            emit(it)
            !it.found.hasTurn
        }.toList()

    /** What [home] says; null when it does not answer, or another home serves at its address. */
    private suspend fun hear(
        home: HomeAt,
        turn: AttemptId,
    ): Heard? {
        val found = exchange.ask(home.address, FindTurn(turn), FIND_LIMIT) as? TurnFound
        return if (found?.home == home.home) Heard(home, found) else null
    }

    private companion object {
        const val MAX_CANDIDATES = 3

        /** The way to the farthest region and back, several times. */
        val FIND_LIMIT = 400.milliseconds

        /** A takeover asks the lost home, the store and the retainers. */
        val TAKE_LIMIT = 2.seconds

        /** Longer than any route keeps a turn. */
        val KEEP = 5.minutes
    }
}
