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
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * The part of the directory of programs that the home [self] keeps: where each program of its partitions lives.
 *
 * Nothing of it lasts. Homes know their programs, and are asked for them when a partition comes here. Until all of them have
 * answered, nothing is told of the partition.
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
    private val lock = ReentrantLock()

    /** The partitions that all homes were heard of. */
    private val complete = HashMap<Int, HashMap<ProgramName, HomeAt>>()

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
        on(message.program) { programs ->
            val view = homes.view
            val known = programs[message.program]?.let(view::present)
            val home = known?.takeIf { it.home != message.home.home } ?: message.home
            programs[message.program] = home
            ProgramAt(home)
        }

    /** Tells where a program lives. */
    fun locate(message: LocateProgram): Message =
        on(message.program) { programs -> ProgramAt(programs[message.program]?.let(homes.view::present)) }

    /** Drops programs that their home has dropped. */
    fun forget(message: ForgetPrograms) {
        lock.withLock {
            for (program in message.programs) {
                val programs = complete[ProgramPartitions.of(program.value)] ?: continue
                if (programs[program]?.home == message.home) programs.remove(program)
            }
        }
    }

    private fun on(
        program: ProgramName,
        act: (HashMap<ProgramName, HomeAt>) -> Message,
    ): Message =
        lock.withLock {
            val partition = ProgramPartitions.of(program.value)
            complete[partition]?.let(act)
                ?: Declined("${self.home} does not have the directory of partition $partition")
        }

    /** Drops partitions that another home owns in [view], and notes those that are missing here. */
    private fun keepOwned(view: HomeView) {
        val owned = (0 until ProgramPartitions.COUNT).filterTo(HashSet()) { view.ownerOf(it)?.home == self.home }
        lock.withLock {
            complete.keys.retainAll(owned)
            // The entry of a lost home expires; its programs are its successor's from then on.
            complete.values.forEach { programs -> programs.replaceAll { _, home -> view.present(home) } }
        }
        val missing = owned - complete.keys
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
            reply is ProgramsHere && reply.home == home.home -> if (reply.isComplete) heard[home.home] = reply.programs
            reply is Declined -> log.debug { "${home.home} does not list its programs: ${reply.reason}" }
            else -> onSilent(home)
        }
    }

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
            wanted.forEach { complete[it] = HashMap() }
            found.forEach { (name, at) -> complete[ProgramPartitions.of(name.value)]?.put(name, at.second) }
        }
    }

    private companion object {
        val preference = compareBy<ListedProgram>({ it.isRegistered }, { it.tokens })

        /** The way to the farthest region and back, several times. */
        val ASK_LIMIT = 500.milliseconds

        /** A home that takes over another one is complete within some hundred milliseconds. */
        val RETRY = 100.milliseconds
    }
}
