package sycamore.homes

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.links.CountTokens
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.HomeAt
import sycamore.links.ProgramAt
import sycamore.links.RegisterProgram
import sycamore.links.ask
import sycamore.routing.ProgramName
import sycamore.turns.TurnTable
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether a program's turns may run at a home. */
internal sealed interface ProgramPlace {
    /** They may. [isRegistered] is false for a program that the directory could not be asked for yet. */
    data class Here(
        val isRegistered: Boolean,
    ) : ProgramPlace

    /** It lives at [home]. */
    data class Elsewhere(
        val home: HomeAt,
    ) : ProgramPlace

    /** That cannot be told now. */
    data class NotNow(
        val reason: String,
    ) : ProgramPlace
}

/** Makes sure that each program has one home: registers programs that come to the home [self] in the directory. */
internal class ProgramPlaces(
    private val self: HomeAt,
    private val table: TurnTable,
    private val registrations: ProgramRegistrations,
    private val directory: ProgramDirectory,
    private val spent: SpentPrograms,
    private val exchange: Exchange,
    private val onSilent: (HomeAt) -> Unit,
) {
    private val provisional = ConcurrentHashMap.newKeySet<ProgramName>()

    /**
     * Where turns of [program] run. A new program whose directory cannot be asked may have one turn here, which is counted
     * at its home later if that is another one.
     */
    suspend fun of(program: ProgramName): ProgramPlace {
        if (registrations.has(program)) return ProgramPlace.Here(isRegistered = true)
        val home = withTimeoutOrNull(REGISTER_LIMIT) { register(program) }
        return when {
            home == null -> provisional(program)
            home.home == self.home -> ProgramPlace.Here(isRegistered = true)
            else -> settleAt(home, program)
        }
    }

    /** The home of [program], which is this one if it has none yet. */
    private suspend fun register(program: ProgramName): HomeAt {
        while (true) {
            val owner = registrations.ownerOf(program)
            val home = owner?.let { ask(it, program) }
            if (home != null && (home.home != self.home || registrations.confirm(program, owner))) return home
            delay(RETRY)
        }
    }

    private suspend fun ask(
        owner: HomeAt,
        program: ProgramName,
    ): HomeAt? {
        val message = RegisterProgram(program, self)
        if (owner.home == self.home) return (directory.register(message) as? ProgramAt)?.home
        val reply = exchange.ask(owner.address, message, ASK_LIMIT)
        if (reply == null) onSilent(owner)
        return (reply as? ProgramAt)?.home
    }

    private suspend fun provisional(program: ProgramName): ProgramPlace {
        val isNew = !table.has(program) && program !in provisional
        if (!isNew || spent.mayBeMarked(program) || !provisional.add(program)) {
            return ProgramPlace.NotNow("the directory of programs cannot be asked for $program")
        }
        return ProgramPlace.Here(isRegistered = false)
    }

    /** Has turns that [program] had here counted at [home]. */
    private suspend fun settleAt(
        home: HomeAt,
        program: ProgramName,
    ): ProgramPlace {
        for ((turn, tokens) in table.tokensByTurn(program)) {
            val reply = exchange.ask(home.address, CountTokens(program, turn, tokens), COUNT_LIMIT)
            if (reply !is Done) return ProgramPlace.NotNow("${home.home} does not count turn $turn")
        }
        return ProgramPlace.Elsewhere(home)
    }

    /** Drops [programs]. */
    fun forget(programs: Set<ProgramName>) {
        provisional -= programs
    }

    private companion object {
        /** Several times the way to the farthest region and back. A turn that waits longer for the directory may be late. */
        val REGISTER_LIMIT = 200.milliseconds
        val ASK_LIMIT = 150.milliseconds
        val RETRY = 20.milliseconds

        /** The record is kept on two disks before it is answered. */
        val COUNT_LIMIT = 1.seconds
    }
}
