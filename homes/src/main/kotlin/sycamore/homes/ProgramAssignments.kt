package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.log.event
import sycamore.decisions.programs.ProgramPartitions
import sycamore.links.CountTokens
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.HomeEndpoint
import sycamore.links.ProgramLocation
import sycamore.links.RegisterProgram
import sycamore.links.ask
import sycamore.model.HomeId
import sycamore.routing.ProgramName
import sycamore.turns.TurnTable
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

// Log lines carry this logger name, which is independent of the class name.
private val log = KotlinLogging.logger("sycamore.homes.ProgramPlaces")

/** Whether a home may run the turns of a program. */
internal sealed interface ProgramAssignment {
    /**
     * This home may run them. [isRegistered] is false while the directory has not confirmed that the program has no
     * other home.
     */
    data class Here(
        val isRegistered: Boolean,
    ) : ProgramAssignment

    /** The program is served by [home]. */
    data class Elsewhere(
        val home: HomeEndpoint,
    ) : ProgramAssignment

    /**
     * The home of the program cannot be determined now.
     *
     * @property outage the time for which the directory has not answered.
     */
    data class Unresolved(
        val reason: String,
        val outage: Duration,
    ) : ProgramAssignment
}

/**
 * Ensures that each program has one home: registers programs that arrive at the home [self] in the directory.
 *
 * While the directory has not received answers from all homes, a program that may have another home gets one
 * provisional turn here, unless the key-value service marks it as a program that has spent its budget or has had such a turn at
 * any home, or does not answer. Its next turn waits until the directory has confirmed its home. The budget of a program is therefore
 * exceeded by at most one turn, whichever homes are lost. If another home turns out to serve the program, the tokens of that turn
 * are counted there.
 *
 * @param isAdopting whether this home has claimed homes whose programs it has not adopted yet.
 * @param background runs work that continues after the end of a turn, until the home ends.
 */
internal class ProgramAssignments(
    private val self: HomeEndpoint,
    private val table: TurnTable,
    private val registrations: ProgramRegistrations,
    private val directory: ProgramDirectory,
    private val spent: SpentPrograms,
    private val exchange: Exchange,
    private val time: TimeSource,
    private val isAdopting: () -> Boolean,
    private val background: (suspend () -> Unit) -> Unit,
    private val onUnresponsive: (HomeEndpoint) -> Unit,
) {
    /**
     * Where the directory says that a program is served.
     *
     * @property owner the owner of the program's partition, which answered itself or through its deputy.
     */
    private class DirectoryAnswer(
        val home: HomeEndpoint,
        val owner: HomeEndpoint,
        val isTentative: Boolean,
    )

    /**
     * Programs that are assigned to this home until their registration is confirmed, which completes the value. They get
     * no further turn before.
     */
    private val provisional = ConcurrentHashMap<ProgramName, CompletableDeferred<Unit>>()

    /** For each program with another home: that home, once it has counted all turns that the program had here. */
    private val countedAt = ConcurrentHashMap<ProgramName, HomeId>()

    /** Since when the owner of each partition has not answered. */
    private val unansweredSince = ConcurrentHashMap<Int, TimeMark>()

    /** Determines which home runs the next turn of [program], within [timeLeft]. */
    suspend fun resolve(
        program: ProgramName,
        timeLeft: Duration = Duration.INFINITE,
    ): ProgramAssignment = withTimeoutOrNull(timeLeft) { findAssignment(program) } ?: unresolved(program)

    private suspend fun findAssignment(program: ProgramName): ProgramAssignment {
        if (!awaitConfirmation(program)) return unresolved(program)
        if (registrations.contains(program)) return ProgramAssignment.Here(isRegistered = true)
        val answer =
            withTimeoutOrNull(registrationTimeout(program)) { register(program, DEFINITE_ANSWER_TIMEOUT) }
                ?: return unresolved(program)
        val home = answer.home
        return when {
            home.home != self.home && answer.isTentative -> ProgramAssignment.Elsewhere(home)
            home.home != self.home ->
                if (transferTokens(home, program)) ProgramAssignment.Elsewhere(home) else unresolved(program)
            answer.isTentative -> assignProvisionally(program, answer.owner)
            else -> ProgramAssignment.Here(isRegistered = true)
        }
    }

    /**
     * Waits until the home of [program] is confirmed if it is assigned to this home provisionally. Returns false if that
     * takes too long, and at once if the directory has been silent for longer than homes take to start.
     */
    private suspend fun awaitConfirmation(program: ProgramName): Boolean {
        val confirmation = provisional[program] ?: return true
        if (outage(program) >= STARTUP_TIME) return false
        return withTimeoutOrNull(STARTUP_TIME) { confirmation.await() } != null
    }

    private fun unresolved(program: ProgramName) =
        ProgramAssignment.Unresolved("it is not known yet where $program lives", outage(program))

    /** The time for which the directory of [program]'s partition has not answered. */
    private fun outage(program: ProgramName): Duration =
        unansweredSince[ProgramPartitions.partitionOf(program.value)]?.elapsedNow() ?: Duration.ZERO

    /** The time within which the directory has to answer for [program]. It is longer while homes may be starting. */
    private fun registrationTimeout(program: ProgramName): Duration =
        if (outage(program) < STARTUP_TIME) STARTUP_TIME else REGISTRATION_TIMEOUT

    private suspend fun assignProvisionally(
        program: ProgramName,
        owner: HomeEndpoint,
    ): ProgramAssignment {
        if (provisional.putIfAbsent(program, CompletableDeferred()) != null) return unresolved(program)
        var isGranted = false
        try {
            val mayReserve = !registrations.isProvisional(program)
            isGranted =
                mayReserve &&
                spent.reserveProvisionalTurn(program, self.home) &&
                registrations.recordProvisional(program, owner)
        } finally {
            // A program that got no turn may get one as soon as the marks can be read, or the new owner answers.
            if (!isGranted) endProvisional(program)
        }
        log.event("program-provisional", "program" to program, "home" to self.home, "may_be_spent" to !isGranted)
        if (!isGranted) return unresolved(program)
        background { registerProvisional(program) }
        return ProgramAssignment.Here(isRegistered = false)
    }

    /** Registers a program that is provisionally assigned to this home, however long that takes. */
    private suspend fun registerProvisional(program: ProgramName) {
        while (true) {
            val home = register(program, Duration.INFINITE).home
            // If the home does not confirm the count, it may be lost; the next attempt then reaches its successor.
            if (home.home == self.home || transferTokens(home, program)) break
            delay(COUNT_RETRY_DELAY)
        }
        endProvisional(program)
    }

    private fun endProvisional(program: ProgramName) {
        provisional.remove(program)?.complete(Unit)
    }

    /**
     * The home of [program], which becomes this one if it has none yet. A tentative answer is accepted only after
     * [minWait].
     */
    private suspend fun register(
        program: ProgramName,
        minWait: Duration,
    ): DirectoryAnswer {
        val began = time.markNow()
        while (true) {
            val owner = registrations.ownerOf(program)
            val answer = owner?.let { requestFromOwner(it, program) }
            val home = answer?.home
            if (home != null && isUsable(answer, program, owner, began.elapsedNow() >= minWait)) {
                return DirectoryAnswer(home, owner, answer.isTentative)
            }
            delay(RETRY_DELAY)
        }
    }

    private fun isUsable(
        answer: ProgramLocation,
        program: ProgramName,
        owner: HomeEndpoint,
        acceptsTentative: Boolean,
    ): Boolean {
        val isHere = answer.home?.home == self.home
        return when {
            answer.isTentative -> acceptsTentative
            // The directory names the successor of a home as soon as that home is claimed.
            isHere && answer.wasRegistered && isAdopting() -> false
            else -> !isHere || registrations.recordRegistration(program, owner)
        }
    }

    /** The answer of [owner], or that of its deputy if the owner does not respond. */
    private suspend fun requestFromOwner(
        owner: HomeEndpoint,
        program: ProgramName,
    ): ProgramLocation? {
        val message = RegisterProgram(program, self)
        if (owner.home == self.home) return directory.register(message) as? ProgramLocation
        val reply = exchange.ask(owner.address, message, REQUEST_TIMEOUT)
        val partition = ProgramPartitions.partitionOf(program.value)
        if (reply != null) {
            unansweredSince.remove(partition)
            return reply as? ProgramLocation
        }
        unansweredSince.putIfAbsent(partition, time.markNow())
        onUnresponsive(owner)
        return requestFromDeputy(owner, message)
    }

    /**
     * Registers at the deputy of the owner. All homes choose the same deputy, so a program is assigned to one home
     * only.
     */
    private suspend fun requestFromDeputy(
        owner: HomeEndpoint,
        message: RegisterProgram,
    ): ProgramLocation? {
        val peer = registrations.deputyOf(message.program)?.takeIf { it.home != owner.home } ?: return null
        val call = message.copy(isDeputy = true)
        val reply =
            if (peer.home == self.home) directory.register(call) else exchange.ask(peer.address, call, REQUEST_TIMEOUT)
        return (reply as? ProgramLocation)?.copy(isTentative = true)
    }

    /** Has [home], which serves [program], count the tokens of the turns that ran here; false if that fails for now. */
    private suspend fun transferTokens(
        home: HomeEndpoint,
        program: ProgramName,
    ): Boolean {
        if (countedAt[program] == home.home) return true
        for ((turn, tokens) in table.tokensByTurn(program)) {
            if (exchange.ask(home.address, CountTokens(program, turn, tokens), COUNT_TIMEOUT) !is Done) return false
        }
        countedAt[program] = home.home
        log.event("program-elsewhere", "program" to program, "home" to self.home, "at" to home.home)
        return true
    }

    /** Removes [programs]. */
    fun forget(programs: Set<ProgramName>) {
        programs.forEach(::endProvisional)
        countedAt -= programs
    }

    private companion object {
        /**
         * Time for an owner and then its deputy to answer, and for a second attempt. A turn that waits longer may miss
         * its deadline.
         */
        val REGISTRATION_TIMEOUT = 400.milliseconds

        /**
         * Time in which homes that start together, as after a power failure, read their logs and collect the directory.
         * An owner that has not answered for longer is likely to be lost.
         */
        val STARTUP_TIME = 800.milliseconds

        /**
         * Time before a tentative answer is accepted. A home that has just started or taken over another one collects
         * the programs of its partitions in about this time.
         */
        val DEFINITE_ANSWER_TIMEOUT = 120.milliseconds

        /** Several round trips to the farthest region. */
        val REQUEST_TIMEOUT = 150.milliseconds
        val RETRY_DELAY = 20.milliseconds

        /** The other home responds only after the record is on two disks. */
        val COUNT_TIMEOUT = 1.seconds
        val COUNT_RETRY_DELAY = 200.milliseconds
    }
}
