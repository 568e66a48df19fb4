package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.launch
import sycamore.daemon.homes.HomeList
import sycamore.daemon.homes.HomeView
import sycamore.daemon.log.event
import sycamore.decisions.programs.ProgramPartitions
import sycamore.links.ClaimPartitions
import sycamore.links.Declined
import sycamore.links.Exchange
import sycamore.links.ForgetPrograms
import sycamore.links.HomeAt
import sycamore.links.ListedProgram
import sycamore.links.LocateProgram
import sycamore.links.Message
import sycamore.links.ProgramAt
import sycamore.links.ProgramsHere
import sycamore.links.RegisterProgram
import sycamore.links.ask
import sycamore.model.HomeId
import sycamore.routing.ProgramName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * The part of the directory of programs that the home [self] keeps: where each program of its partitions lives.
 *
 * Nothing of it lasts. Homes know their programs, and are asked for them when a partition comes here. Until all of them have
 * answered, a program that none of them has named gets a tentative place, the same one whichever home asks.
 *
 * @param own answers for the programs of this home.
 * @param onSilent is told of homes that do not answer.
 */
internal class ProgramDirectory(
    private val self: HomeAt,
    private val homes: HomeList,
    private val exchange: Exchange,
    private val time: TimeSource,
    private val own: (ClaimPartitions) -> Message,
    private val onSilent: (HomeAt) -> Unit,
) {
    /** What is known of one partition. Programs that are not in [programs] may live anywhere unless it [isComplete]. */
    private class Partition {
        val programs = HashMap<ProgramName, HomeAt>()
        var isComplete = false
    }

    private class TentativePlace(
        val home: HomeAt,
        val since: TimeMark,
    )

    private val lock = ReentrantLock()
    private val partitions = HashMap<Int, Partition>()

    /** Places that were given to programs while it was not known where they live. */
    private val tentative = HashMap<ProgramName, TentativePlace>()

    /** Homes that were asked for the programs of [wanted], and what they answered. */
    private val heard = ConcurrentHashMap<HomeId, List<ListedProgram>>()
    private val unheard = ConcurrentHashMap<HomeId, HomeAt>()
    private var wanted: Set<Int> = emptySet()

    /** Keeps the partitions that the registered homes give to this one, until cancelled. */
    suspend fun run() {
        homes.views.collectLatest { view ->
            keepOwned(view)
            if (wanted.isNotEmpty()) collect(view)
        }
    }

    /** Registers a program, unless it lives elsewhere already. */
    fun register(message: RegisterProgram): Message =
        lock.withLock {
            val program = message.program
            val partition = partitions[ProgramPartitions.of(program.value)]
            val known = partition?.programs?.get(program)?.let(homes.view::currentHome)
            when {
                known != null -> ProgramAt(known)
                partition?.isComplete == true -> {
                    partition.programs[program] = message.home
                    ProgramAt(message.home)
                }
                partition != null || message.isDeputy -> tentativePlace(program, message.home)
                else -> notKept(program)
            }
        }

    private fun tentativePlace(
        program: ProgramName,
        wanted: HomeAt,
    ): Message {
        val place = tentative.getOrPut(program) { TentativePlace(wanted, time.markNow()) }
        return ProgramAt(homes.view.currentHome(place.home), isTentative = true)
    }

    private fun notKept(program: ProgramName) =
        Declined("${self.home} does not have the directory of partition ${ProgramPartitions.of(program.value)}")

    /** Tells where a program lives. */
    fun locate(message: LocateProgram): Message =
        lock.withLock {
            val partition = partitions[ProgramPartitions.of(message.program.value)]
            val home = partition?.programs?.get(message.program)?.let(homes.view::currentHome)
            if (home == null && partition?.isComplete != true) notKept(message.program) else ProgramAt(home)
        }

    /** Drops programs that their home has dropped. */
    fun forget(message: ForgetPrograms) {
        lock.withLock {
            for (program in message.programs) {
                val programs = partitions[ProgramPartitions.of(program.value)]?.programs ?: continue
                if (programs[program]?.home == message.home) programs.remove(program)
                tentative.remove(program)
            }
        }
    }

    /** Drops partitions that another home owns in [view], and notes those that are missing here. */
    private fun keepOwned(view: HomeView) {
        val owned = (0 until ProgramPartitions.COUNT).filterTo(HashSet()) { view.ownerOf(it)?.home == self.home }
        lock.withLock {
            partitions.keys.retainAll(owned)
            owned.forEach { partitions.getOrPut(it) { Partition() } }
            // The entry of a lost home expires; its programs are its successor's from then on.
            partitions.values.forEach { it.programs.replaceAll { _, home -> view.currentHome(home) } }
            tentative.values.removeIf { it.since.elapsedNow() > TENTATIVE }
        }
        val missing = owned.filterTo(HashSet()) { !partitions.getValue(it).isComplete }
        // What a home without an answer had may be at a successor by now, which may have answered before it took over.
        val isOverdue = unheard.keys.any { !view.serves(it) }
        if (isOverdue || !wanted.containsAll(missing)) heard.clear()
        wanted = missing
    }

    private suspend fun collect(view: HomeView) {
        val began = time.markNow()
        while (true) {
            val open = view.serving.filter { !heard.containsKey(it.home) }
            unheard.clear()
            unheard.putAll(open.associateBy { it.home })
            if (open.isEmpty()) break
            coroutineScope { open.forEach { home -> launch { hear(home, view) } } }
            if (view.serving.any { !heard.containsKey(it.home) }) delay(RETRY)
        }
        take()
        log.event(
            "directory-complete",
            "home" to self.home,
            "partitions" to wanted.size,
            "homes" to view.serving.size,
            "programs" to heard.values.sumOf { it.size },
            "ms" to began.elapsedNow().inWholeMilliseconds,
        )
        wanted = emptySet()
    }

    private suspend fun hear(
        home: HomeAt,
        view: HomeView,
    ) {
        val claim = ClaimPartitions(wanted.sorted(), self, view.revision.value)
        val reply = if (home.home == self.home) own(claim) else exchange.ask(home.address, claim, ASK_LIMIT)
        when {
            reply is ProgramsHere && reply.home == home.home -> learn(home, reply)
            reply is Declined -> log.debug { "${home.home} does not list its programs: ${reply.reason}" }
            else -> onSilent(home)
        }
    }

    /** A program that its home has registered has no other one, so others need not be heard of it. */
    private fun learn(
        home: HomeAt,
        listed: ProgramsHere,
    ) {
        if (listed.isComplete) heard[home.home] = listed.programs
        val registered = listed.programs.filter { it.isRegistered }
        lock.withLock { registered.forEach { partitionOf(it.program)?.programs?.put(it.program, home) } }
    }

    private fun partitionOf(program: ProgramName): Partition? = partitions[ProgramPartitions.of(program.value)]

    /** Takes in what all homes answered. A registered program goes before others of its name, and then the one that spent more. */
    private fun take() {
        val found = HashMap<ProgramName, Pair<ListedProgram, HomeAt>>()
        for (home in homes.view.serving) {
            for (program in heard[home.home].orEmpty()) {
                val other = found[program.program]?.first
                if (other == null || preference.compare(program, other) > 0) found[program.program] = program to home
            }
        }
        lock.withLock {
            val taken = wanted.mapNotNull(partitions::get)
            found.forEach { (name, at) -> partitionOf(name)?.takeIf { it in taken }?.programs?.put(name, at.second) }
            taken.forEach { it.isComplete = true }
            tentative.keys.removeAll { partitionOf(it)?.isComplete == true }
        }
    }

    private companion object {
        val preference = compareBy<ListedProgram>({ it.isRegistered }, { it.tokens })

        /** The way to the farthest region and back, several times. */
        val ASK_LIMIT = 500.milliseconds

        /** A home that takes over another one is complete within some hundred milliseconds. */
        val RETRY = 100.milliseconds

        /** Several times as long as it takes to replace a lost owner and to hear of its partitions. */
        val TENTATIVE = 30.seconds
    }
}
