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
import sycamore.links.HomeEndpoint
import sycamore.links.ListedProgram
import sycamore.links.LocateProgram
import sycamore.links.Message
import sycamore.links.ProgramLocation
import sycamore.links.RegisterProgram
import sycamore.links.ServedPrograms
import sycamore.links.UnregisterPrograms
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
 * The part of the program directory that the home [self] owns: the home of each program in its partitions.
 *
 * The directory is kept in memory only. A home that becomes the owner of a partition asks all homes for their programs
 * in it. Until all of them have answered, a program that none of them has reported is assigned to a home tentatively,
 * and every home that asks gets the same answer.
 *
 * @param listOwnPrograms lists the programs of this home.
 * @param onUnresponsive is called with each home that does not respond.
 */
internal class ProgramDirectory(
    private val self: HomeEndpoint,
    private val homes: HomeList,
    private val exchange: Exchange,
    private val time: TimeSource,
    private val listOwnPrograms: (ClaimPartitions) -> Message,
    private val onUnresponsive: (HomeEndpoint) -> Unit,
) {
    /** A program that a home serves without a registration, as it reported. */
    private class UnregisteredProgram(
        val home: HomeEndpoint,
        val tokens: Long,
    )

    /** One partition. A program that is missing from [programs] may still be served by any home unless [isComplete]. */
    private class Partition {
        val programs = HashMap<ProgramName, HomeEndpoint>()
        var isComplete = false

        /** Programs that had turns at a home which is not confirmed as theirs, until the partition is complete. */
        val unregistered = HashMap<ProgramName, UnregisteredProgram>()

        /** Whether each home has been asked once for its programs, so that all that respond have reported them. */
        var isSurveyed = false
    }

    private class TentativeAssignment(
        val home: HomeEndpoint,
        val since: TimeMark,
    )

    private val lock = ReentrantLock()
    private val partitions = HashMap<Int, Partition>()

    /** Homes that were assigned to programs while their partition was incomplete. */
    private val tentativeAssignments = HashMap<ProgramName, TentativeAssignment>()

    /** The programs that each home has reported for the partitions [incomplete]. */
    private val reported = ConcurrentHashMap<HomeId, List<ListedProgram>>()

    /** Homes that have not yet sent a complete answer. */
    private val unanswered = ConcurrentHashMap<HomeId, HomeEndpoint>()

    /** Owned partitions whose programs are being collected. */
    private var incomplete: Set<Int> = emptySet()

    /** Maintains the partitions that this home owns among the registered homes, until cancelled. */
    suspend fun run() {
        homes.views.collectLatest { view ->
            updatePartitions(view)
            if (incomplete.isNotEmpty()) collectPrograms(view)
        }
    }

    /** Registers a program at the home that [message] names, unless it has a home already. */
    fun register(message: RegisterProgram): Message =
        lock.withLock {
            val program = message.program
            val partition = partitions[ProgramPartitions.partitionOf(program.value)]
            val known = partition?.programs?.get(program)?.let(homes.view::currentHome)
            when {
                known != null -> ProgramLocation(known, wasRegistered = true)
                partition?.isComplete == true -> {
                    partition.programs[program] = message.home
                    ProgramLocation(message.home)
                }
                partition?.isSurveyed == true ->
                    assignTentatively(program, partition.unregistered[program]?.home ?: message.home)
                // Another home may have given the program a provisional turn, and would do so again.
                partition != null -> Declined("${self.home} has not asked all homes for their programs yet")
                message.isDeputy -> assignTentatively(program, message.home)
                else -> declineUnowned(program)
            }
        }

    private fun assignTentatively(
        program: ProgramName,
        candidate: HomeEndpoint,
    ): Message {
        val assignment = tentativeAssignments.getOrPut(program) { TentativeAssignment(candidate, time.markNow()) }
        return ProgramLocation(homes.view.currentHome(assignment.home), isTentative = true)
    }

    private fun declineUnowned(program: ProgramName) =
        Declined(
            "${self.home} does not have the directory of partition ${ProgramPartitions.partitionOf(program.value)}",
        )

    /** Returns the home of a program. */
    fun locate(message: LocateProgram): Message =
        lock.withLock {
            val partition = partitions[ProgramPartitions.partitionOf(message.program.value)]
            val home = partition?.programs?.get(message.program)?.let(homes.view::currentHome)
            if (home == null &&
                partition?.isComplete != true
            ) {
                declineUnowned(message.program)
            } else {
                ProgramLocation(home)
            }
        }

    /** Removes programs that their home no longer serves. */
    fun forget(message: UnregisterPrograms) {
        lock.withLock {
            for (program in message.programs) {
                val programs = partitions[ProgramPartitions.partitionOf(program.value)]?.programs ?: continue
                if (programs[program]?.home == message.home) programs.remove(program)
                tentativeAssignments.remove(program)
            }
        }
    }

    /** Removes partitions that another home owns in [view], and determines which of the owned ones are incomplete. */
    private fun updatePartitions(view: HomeView) {
        val owned = (0 until ProgramPartitions.COUNT).filterTo(HashSet()) { view.ownerOf(it)?.home == self.home }
        lock.withLock {
            partitions.keys.retainAll(owned)
            owned.forEach { partitions.getOrPut(it) { Partition() } }
            // The entry of a lost home expires, so its programs are moved to its successor while the entry names it.
            partitions.values.forEach { it.programs.replaceAll { _, home -> view.currentHome(home) } }
            tentativeAssignments.values.removeIf { it.since.elapsedNow() > TENTATIVE_ASSIGNMENT_TTL }
        }
        val missing = owned.filterTo(HashSet()) { !partitions.getValue(it).isComplete }
        // A home that has not answered may have been taken over since, and its successor may have answered before the
        // takeover. No answer would then contain its programs, so all homes are asked again.
        val isReportStale = unanswered.keys.any { !view.serves(it) }
        if (isReportStale || !incomplete.containsAll(missing)) reported.clear()
        incomplete = missing
    }

    private suspend fun collectPrograms(view: HomeView) {
        val began = time.markNow()
        while (true) {
            val open = view.serving.filter { !reported.containsKey(it.home) }
            unanswered.clear()
            unanswered.putAll(open.associateBy { it.home })
            if (open.isEmpty()) break
            coroutineScope { open.forEach { home -> launch { requestPrograms(home, view) } } }
            lock.withLock { incomplete.mapNotNull(partitions::get).forEach { it.isSurveyed = true } }
            if (view.serving.any { !reported.containsKey(it.home) }) delay(RETRY_INTERVAL)
        }
        completePartitions()
        log.event(
            "directory-complete",
            "home" to self.home,
            "partitions" to incomplete.size,
            "homes" to view.serving.size,
            "programs" to reported.values.sumOf { it.size },
            "ms" to began.elapsedNow().inWholeMilliseconds,
        )
        incomplete = emptySet()
    }

    private suspend fun requestPrograms(
        home: HomeEndpoint,
        view: HomeView,
    ) {
        val claim = ClaimPartitions(incomplete.sorted(), self, view.revision.value)
        val reply =
            if (home.home == self.home) listOwnPrograms(claim) else exchange.ask(home.address, claim, ASK_TIMEOUT)
        when {
            reply is ServedPrograms && reply.home == home.home -> recordReport(home, reply)
            reply is Declined -> log.debug { "home ${home.home} declined to list its programs: ${reply.reason}" }
            else -> onUnresponsive(home)
        }
    }

    /**
     * Records what [home] listed. A program that is registered there has no other home, so it is entered before
     * the other homes have answered.
     */
    private fun recordReport(
        home: HomeEndpoint,
        listed: ServedPrograms,
    ) {
        if (listed.isComplete) reported[home.home] = listed.programs
        val (registered, unregistered) = listed.programs.partition { it.isRegistered }
        lock.withLock {
            registered.forEach { partitionOf(it.program)?.programs?.put(it.program, home) }
            unregistered.forEach { recordUnregistered(it, home) }
        }
    }

    private fun recordUnregistered(
        listed: ListedProgram,
        home: HomeEndpoint,
    ) {
        val programs = partitionOf(listed.program)?.unregistered ?: return
        val known = programs[listed.program]
        if (known == null || known.tokens < listed.tokens) {
            programs[listed.program] = UnregisteredProgram(home, listed.tokens)
        }
    }

    private fun partitionOf(program: ProgramName): Partition? = partitions[ProgramPartitions.partitionOf(program.value)]

    /**
     * Enters the programs that all homes reported, and marks the partitions as complete. If several homes report the
     * same program, one where it is registered is preferred, and among equals the one where it has spent more tokens.
     */
    private fun completePartitions() {
        val found = HashMap<ProgramName, Pair<ListedProgram, HomeEndpoint>>()
        for (home in homes.view.serving) {
            for (program in reported[home.home].orEmpty()) {
                val other = found[program.program]?.first
                if (other == null || preference.compare(program, other) > 0) found[program.program] = program to home
            }
        }
        lock.withLock {
            val filled = incomplete.mapNotNull(partitions::get)
            found.forEach { (name, at) -> partitionOf(name)?.takeIf { it in filled }?.programs?.put(name, at.second) }
            filled.forEach {
                it.isComplete = true
                it.unregistered.clear()
            }
            tentativeAssignments.keys.removeAll { partitionOf(it)?.isComplete == true }
        }
    }

    private companion object {
        val preference = compareBy<ListedProgram>({ it.isRegistered }, { it.tokens })

        /** Several round trips to the farthest region. */
        val ASK_TIMEOUT = 500.milliseconds

        /** A home that is taking over another one can list all its programs within a few hundred milliseconds. */
        val RETRY_INTERVAL = 100.milliseconds

        /**
         * Several times the time that it takes to replace a lost owner and to collect the programs of its partitions.
         */
        val TENTATIVE_ASSIGNMENT_TTL = 30.seconds
    }
}
