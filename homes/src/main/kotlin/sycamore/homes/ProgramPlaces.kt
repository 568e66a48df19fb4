package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.log.event
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
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Whether a program's turns may run at a home. */
internal sealed interface ProgramPlace {
    /** They may. [isRegistered] is false for a program that the directory could not be asked for yet. */
    data class Here(
        val isRegistered: Boolean,
    ) : ProgramPlace

    /** It lives at [home]. */
    data class Elsewhere(
        val home: HomeEndpoint,
    ) : ProgramPlace

    /** That cannot be told now. */
    data class NotNow(
        val reason: String,
    ) : ProgramPlace
}

/**
 * Makes sure that each program has one home: registers programs that come to the home [self] in the directory.
 *
 * A program whose home may be another one that was not heard yet has one turn here, unless the store names it among those that
 * spent their budgets. So its budget is exceeded by one turn at most. If the program lives elsewhere, the turn is counted there.
 *
 * @param background does work that outlives a turn, until the home ends.
 */
internal class ProgramPlaces(
    private val self: HomeEndpoint,
    private val table: TurnTable,
    private val registrations: ProgramRegistrations,
    private val directory: ProgramDirectory,
    private val spent: SpentPrograms,
    private val exchange: Exchange,
    private val time: TimeSource,
    private val background: (suspend () -> Unit) -> Unit,
    private val onSilent: (HomeEndpoint) -> Unit,
) {
    private val provisional = ConcurrentHashMap.newKeySet<ProgramName>()

    /** Homes at which all turns that a program had here are counted. */
    private val settled = ConcurrentHashMap<ProgramName, HomeId>()

    /** Where the next turn of [program] runs. */
    suspend fun of(program: ProgramName): ProgramPlace {
        if (registrations.has(program)) return ProgramPlace.Here(isRegistered = true)
        if (program in provisional) return notNow(program)
        val answer = withTimeoutOrNull(REGISTER_LIMIT) { register(program, CERTAIN_LIMIT) } ?: return notNow(program)
        val home = answer.home!!
        return when {
            home.home != self.home && answer.isTentative -> ProgramPlace.Elsewhere(home)
            home.home != self.home -> if (settleAt(home, program)) ProgramPlace.Elsewhere(home) else notNow(program)
            answer.isTentative -> provisionally(program)
            else -> ProgramPlace.Here(isRegistered = true)
        }
    }

    private fun notNow(program: ProgramName) = ProgramPlace.NotNow("it is not known yet where $program lives")

    private suspend fun provisionally(program: ProgramName): ProgramPlace {
        if (!provisional.add(program)) return notNow(program)
        background { confirm(program) }
        val mayBeSpent = spent.mayBeMarked(program)
        log.event("program-provisional", "program" to program, "home" to self.home, "may_be_spent" to mayBeSpent)
        return if (mayBeSpent) notNow(program) else ProgramPlace.Here(isRegistered = false)
    }

    /** Registers a program that has a provisional place here. */
    private suspend fun confirm(program: ProgramName) {
        while (true) {
            val home = register(program, Duration.INFINITE).home!!
            // A home that does not count them may be lost; then its successor is told the next time.
            if (home.home == self.home || settleAt(home, program)) break
            delay(SETTLE_PAUSE)
        }
        provisional -= program
    }

    /** The home of [program], which is this one if it has none yet. A tentative answer is taken after [patience]. */
    private suspend fun register(
        program: ProgramName,
        patience: Duration,
    ): ProgramLocation {
        val began = time.markNow()
        while (true) {
            val owner = registrations.ownerOf(program)
            val answer = owner?.let { ask(it, program) }
            if (answer?.home != null && isEnough(answer, program, owner, began.elapsedNow() >= patience)) return answer
            delay(RETRY)
        }
    }

    private fun isEnough(
        answer: ProgramLocation,
        program: ProgramName,
        owner: HomeEndpoint,
        isLate: Boolean,
    ): Boolean {
        val isHere = answer.home?.home == self.home
        return when {
            answer.isTentative -> isLate
            else -> !isHere || registrations.confirm(program, owner)
        }
    }

    /** What [owner] answers, or the deputy of an owner that does not answer. */
    private suspend fun ask(
        owner: HomeEndpoint,
        program: ProgramName,
    ): ProgramLocation? {
        val message = RegisterProgram(program, self)
        if (owner.home == self.home) return directory.register(message) as? ProgramLocation
        val reply = exchange.ask(owner.address, message, ASK_LIMIT)
        if (reply == null) onSilent(owner)
        return if (reply == null) askDeputy(owner, message) else reply as? ProgramLocation
    }

    /** All homes ask the same deputy, so that it gives one place to a program. */
    private suspend fun askDeputy(
        owner: HomeEndpoint,
        message: RegisterProgram,
    ): ProgramLocation? {
        val deputy = registrations.deputyOf(message.program)?.takeIf { it.home != owner.home } ?: return null
        val order = message.copy(isDeputy = true)
        val reply =
            if (deputy.home == self.home) directory.register(order) else exchange.ask(deputy.address, order, ASK_LIMIT)
        return (reply as? ProgramLocation)?.copy(isTentative = true)
    }

    /** Has turns that [program] had here counted at [home], from where on it is served; false if that cannot be done now. */
    private suspend fun settleAt(
        home: HomeEndpoint,
        program: ProgramName,
    ): Boolean {
        if (settled[program] == home.home) return true
        for ((turn, tokens) in table.tokensByTurn(program)) {
            if (exchange.ask(home.address, CountTokens(program, turn, tokens), COUNT_LIMIT) !is Done) return false
        }
        settled[program] = home.home
        log.event("program-elsewhere", "program" to program, "home" to self.home, "at" to home.home)
        return true
    }

    /** Drops [programs]. */
    fun forget(programs: Set<ProgramName>) {
        provisional -= programs
        settled -= programs
    }

    private companion object {
        /** Time for an owner and then its deputy to answer, and to answer again. A turn that waits longer may be late. */
        val REGISTER_LIMIT = 400.milliseconds

        /** A home that has just started or taken over hears of its partitions within about this time. */
        val CERTAIN_LIMIT = 120.milliseconds

        /** Several times the way to the farthest region and back. */
        val ASK_LIMIT = 150.milliseconds
        val RETRY = 20.milliseconds

        /** The record is kept on two disks before it is answered. */
        val COUNT_LIMIT = 1.seconds
        val SETTLE_PAUSE = 200.milliseconds
    }
}
