package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import sycamore.daemon.Background
import sycamore.daemon.log.event
import sycamore.links.BudgetSpentElsewhere
import sycamore.links.Exchange
import sycamore.links.FindProgram
import sycamore.links.HomeAt
import sycamore.links.HomeTaken
import sycamore.links.Message
import sycamore.links.ProgramFound
import sycamore.links.TakeHome
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
    /**
     * It lives at [home].
     *
     * @property previousAt the home of the turn that it continues, if that is another one.
     * @property isCertain whether no other home can have the program.
     */
    data class At(
        val home: HomeAt,
        val previousAt: HomeAt?,
        val isCertain: Boolean,
    ) : Located

    /**
     * No home has it, as far as is known.
     *
     * @property previousAt the home of the turn that it continues; null if it continues none.
     * @property isCertain whether all homes said so.
     */
    data class Nowhere(
        val previousAt: HomeAt?,
        val isCertain: Boolean,
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
    private val board: GateBoard,
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
        val found: ProgramFound,
    )

    private val known = ConcurrentHashMap<ProgramName, Known>()
    private val spent = ConcurrentHashMap.newKeySet<ProgramName>()
    private val takeovers = ConcurrentHashMap<HomeId, CompletableDeferred<HomeAt?>>()

    /** The home of [program], if this process knows it. */
    fun known(program: ProgramName): HomeAt? = known[program]?.let { list.present(it.home) }

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

    /** [program] has spent its budget at [home]. All other homes learn it, since it may come back when [home] is lost. */
    fun spent(
        program: ProgramName,
        home: HomeAt,
    ) {
        if (!spent.add(program)) return
        list.serving.filter { it.home != home.home }.forEach { other ->
            background.launch("telling ${other.home} of a spent budget") {
                exchange.ask(other.address, BudgetSpentElsewhere(program), SPENT_LIMIT)
            }
        }
    }

    /** Drops programs that no call came of for long. */
    fun dropIdle() {
        known.values.removeIf { it.at.elapsedNow() > KEEP }
        if (spent.size > MAX_SPENT) spent.clear()
    }

    /** Asks all homes for [program] and for the turn [previous] that it continues. */
    suspend fun locate(
        program: ProgramName,
        previous: AttemptId?,
    ): Located {
        val serving = list.serving
        val heard = askAll(serving, FindProgram(program, previous))
        val owner = heard.filter { it.found.hasProgram }.maxByOrNull { it.found.tokens }?.home
        val previousAt = heard.firstOrNull { it.found.hasPrevious }?.home
        if (owner != null) learn(program, owner)
        val isCertain = list.isRead && isComplete(serving, heard)
        return when {
            previous == null || previousAt != null ->
                if (owner == null) Located.Nowhere(previousAt, isCertain) else Located.At(owner, previousAt, isCertain)
            isCertain -> settleMissing(heard)
            else -> recover(program, serving, heard)
        }
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
        program: ProgramName,
        serving: List<HomeAt>,
        heard: List<Heard>,
    ): Located {
        val answering = heard.map { it.home.home }.toSet()
        val silent = serving.filter { it.home !in answering }
        if (silent.isEmpty()) return Located.NotNow("a home is still taking over another one")
        log.event("homes-not-heard", "program" to program, "homes" to silent.map { it.home })
        coroutineScope { silent.map { async { takeOver(it) } }.awaitAll() }
        return Located.NotNow("homes that are not heard: ${silent.map { it.home }}")
    }

    /** Makes sure that no home but the one that [locate] tells has [program]; [Located.NotNow] if that cannot be told. */
    suspend fun verify(program: ProgramName): Located {
        val serving = list.serving
        val heard = askAll(serving, FindProgram(program, null))
        val owner = heard.filter { it.found.hasProgram }.maxByOrNull { it.found.tokens }?.home
        if (!list.isRead || !isComplete(serving, heard)) return recover(program, serving, heard)
        if (owner == null) return Located.Nowhere(null, isCertain = true)
        learn(program, owner)
        return Located.At(owner, null, isCertain = true)
    }

    /** Has [lost] taken over, by its own host if that is back, or by another one; null when none can do so now. */
    suspend fun takeOver(lost: HomeAt): HomeAt? {
        val present = list.present(lost)
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
            board.all
                .filter { it.status?.isReady == true && it.status.home != lost.home }
                .sortedWith(
                    compareBy(
                        { it.address != lost.address },
                        { it.upstream.isLeaving },
                        { it.upstream.place != place },
                        { (lost.home.toString() + it.address).hashCode() },
                    ),
                )
        for (candidate in candidates.take(MAX_CANDIDATES)) {
            val reply = exchange.ask(candidate.address, TakeHome(lost), TAKE_LIMIT)
            if (reply is HomeTaken) {
                list.learn(lost.home, reply.successor)
                return reply.successor
            }
        }
        return null
    }

    private suspend fun askAll(
        homes: List<HomeAt>,
        message: Message,
    ): List<Heard> =
        coroutineScope {
            homes
                .map { home -> async { hear(home, message) } }
                .awaitAll()
                .filterNotNull()
        }

    /** What [home] says; null when it does not answer, or another home serves at its address. */
    private suspend fun hear(
        home: HomeAt,
        message: Message,
    ): Heard? {
        val found = exchange.ask(home.address, message, FIND_LIMIT) as? ProgramFound
        return if (found?.home == home.home) Heard(home, found) else null
    }

    private companion object {
        const val MAX_CANDIDATES = 3

        /** Names that are remembered as told; one that is told again does no harm. */
        const val MAX_SPENT = 10_000

        /** The way to the farthest region and back, several times. */
        val FIND_LIMIT = 400.milliseconds

        /** The record is kept on two disks before it is answered. */
        val SPENT_LIMIT = 3.seconds

        /** A takeover asks the lost home, the store and the retainers. */
        val TAKE_LIMIT = 2.seconds

        /** Longer than any route keeps a turn. */
        val KEEP = 5.minutes
    }
}
