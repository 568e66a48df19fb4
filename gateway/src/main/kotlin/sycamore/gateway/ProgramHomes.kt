package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.links.Exchange
import sycamore.links.FindProgram
import sycamore.links.HomeAt
import sycamore.links.HomeTaken
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.ProgramFound
import sycamore.links.TakeHome
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.PlaceName
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName
import sycamore.services.KeyValue
import sycamore.services.Read
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/** Where a program's next turn goes. */
internal sealed interface Located {
    /** It lives at [home]; the turn that it continues lives at [previousAt] if that is another home. */
    data class At(
        val home: HomeAt,
        val previousAt: HomeAt?,
    ) : Located

    /** No home has it. The turn that it continues lives at [previousAt]; null if it continues none. */
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
    private val board: GateBoard,
    private val keys: KeyValue,
    private val exchange: Exchange,
) {
    private val known = ConcurrentHashMap<ProgramName, HomeAt>()
    private val successors = ConcurrentHashMap<HomeId, HomeAt>()
    private val takeovers = ConcurrentHashMap<HomeId, CompletableDeferred<HomeAt?>>()

    /** The home of [program], if this process knows it. */
    fun known(program: ProgramName): HomeAt? = known[program]?.let(::present)

    private fun present(home: HomeAt): HomeAt {
        var next = home
        repeat(MAX_SUCCESSORS) { next = successors[next.home] ?: return next }
        return next
    }

    /** [program] lives at [home]. */
    fun learn(
        program: ProgramName,
        home: HomeAt,
    ) {
        known[program] = home
    }

    /** What was known of [program]'s home is wrong. */
    fun forget(program: ProgramName) {
        known.remove(program)
    }

    /** Asks all daemons for [program] and for the turn [previous] that it continues. */
    suspend fun locate(
        program: ProgramName,
        previous: AttemptId?,
    ): Located {
        val hosts = board.all.map { it.address }.distinct()
        val replies = askAll(hosts, FindProgram(program, previous))
        val home = replies.firstOrNull { (_, found) -> found.hasProgram }?.let(::homeAt)
        val previousAt = replies.firstOrNull { (_, found) -> found.hasPrevious }?.let(::homeAt)
        if (home != null) learn(program, home)
        return when {
            home != null && (previous == null || previousAt != null) -> Located.At(home, previousAt)
            previous == null -> Located.Nowhere(null)
            previousAt != null -> Located.Nowhere(previousAt)
            else -> settleMissing(previous, replies)
        }
    }

    private fun homeAt(reply: Pair<Address, ProgramFound>): HomeAt? = reply.second.home?.let { HomeAt(it, reply.first) }

    /** Nobody has [previous]. Whether it exists cannot be told before all homes that ever served were heard. */
    private suspend fun settleMissing(
        previous: AttemptId,
        replies: List<Pair<Address, ProgramFound>>,
    ): Located {
        val serving = serving() ?: return Located.NotNow("the homes cannot be listed now")
        val heard = replies.mapNotNull { it.second.home }.toSet()
        val unheard = serving.filter { it.home !in heard }
        if (unheard.isEmpty()) {
            return if (replies.all { it.second.isComplete }) {
                Located.NoSuchTurn
            } else {
                Located.NotNow("a home is still being taken over")
            }
        }
        log.info { "turn $previous is not known, and homes ${unheard.map { it.home }} are not heard" }
        unheard.forEach { takeOver(HomeAt(it.home, it.address)) }
        return Located.NotNow("homes that are not heard are being taken over")
    }

    private suspend fun serving(): List<HomeEntry>? {
        val read = keys.list(HomeKeys.PREFIX) as? Read.Found ?: return null
        return read.value.mapNotNull { it.value?.let(HomeKeys::decode) }.filter { it.successor == null }
    }

    /** Has [lost] taken over by another host; null when none can do so now. */
    suspend fun takeOver(lost: HomeAt): HomeAt? {
        successors[lost.home]?.let { return present(it) }
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
                .filter { it.address != lost.address && it.status?.home != null && !it.status.isLeaving }
                .sortedWith(
                    compareBy(
                        { it.upstream.place != place },
                        { (lost.home.toString() + it.address).hashCode() },
                    ),
                )
        for (candidate in candidates.take(MAX_CANDIDATES)) {
            val reply = ask(candidate.address, TakeHome(lost), TAKE_LIMIT)
            if (reply is HomeTaken) {
                successors[lost.home] = reply.successor
                log.info { "home ${lost.home} was taken over by ${reply.successor.home}" }
                return reply.successor
            }
        }
        return null
    }

    private suspend fun askAll(
        hosts: List<Address>,
        message: Message,
    ): List<Pair<Address, ProgramFound>> =
        coroutineScope {
            hosts
                .map { host -> async { (ask(host, message, FIND_LIMIT) as? ProgramFound)?.let { host to it } } }
                .awaitAll()
                .filterNotNull()
        }

    private suspend fun ask(
        to: Address,
        message: Message,
        limit: Duration,
    ): Message? =
        try {
            withTimeoutOrNull(limit) { exchange(to, message).firstOrNull() }
        } catch (_: LinkException) {
            null
        }

    private companion object {
        const val MAX_SUCCESSORS = 8
        const val MAX_CANDIDATES = 3

        /** The way to the farthest region and back, several times. */
        val FIND_LIMIT = 400.milliseconds

        /** A takeover asks the lost home, the store and the retainers. */
        val TAKE_LIMIT = 2.seconds
    }
}
