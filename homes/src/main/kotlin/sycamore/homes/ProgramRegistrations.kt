package sycamore.homes

import sycamore.daemon.homes.HomeList
import sycamore.decisions.programs.ProgramPartitions
import sycamore.links.ClaimPartitions
import sycamore.links.Declined
import sycamore.links.HomeEndpoint
import sycamore.links.ListedProgram
import sycamore.links.Message
import sycamore.links.ServedPrograms
import sycamore.routing.ProgramName
import sycamore.turns.TurnRecord
import sycamore.turns.TurnStarted
import sycamore.turns.TurnTable
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Which programs of the home [self] are registered in the directory, and who keeps the directory as far as it knows.
 *
 * A new owner of a partition asks every home for its programs there. Each of them registers no more with the former owner
 * once it has answered, so that the new owner misses no program.
 */
internal class ProgramRegistrations(
    private val self: HomeEndpoint,
    private val homes: HomeList,
    private val table: TurnTable,
) {
    /** An owner that this home has answered, and the revision of the view by which it is the owner. */
    private class Claim(
        val owner: HomeEndpoint,
        val revision: Long,
    )

    private val lock = ReentrantLock()
    private val claims = HashMap<Int, Claim>()
    private val registered = HashSet<ProgramName>()

    /** Whether [program] is registered here. */
    fun has(program: ProgramName): Boolean = lock.withLock { program in registered }

    /** The owner of [program]'s partition; null when none is known. */
    fun ownerOf(program: ProgramName): HomeEndpoint? = lock.withLock { ownerOf(ProgramPartitions.of(program.value)) }

    /** The home that is asked in place of an owner of [program]'s partition that does not answer; null when there is none. */
    fun deputyOf(program: ProgramName): HomeEndpoint? = homes.view.deputyOf(ProgramPartitions.of(program.value))

    private fun ownerOf(partition: Int): HomeEndpoint? {
        val view = homes.view
        val claim = claims[partition]
        return if (claim != null && claim.revision > view.revision.value) claim.owner else view.ownerOf(partition)
    }

    /** [owner] has registered [program] here; false if another home has become the owner meanwhile, which has to be asked then. */
    fun confirm(
        program: ProgramName,
        owner: HomeEndpoint,
    ): Boolean =
        lock.withLock {
            val isOwner = ownerOf(ProgramPartitions.of(program.value)) == owner
            if (isOwner) registered += program
            isOwner
        }

    /** Takes in programs that a lost home had registered, as the [records] of its log tell. */
    fun adopt(records: List<TurnRecord>) {
        val names = records.filterIsInstance<TurnStarted>().filter { it.isRegistered }.map { it.program }
        lock.withLock { registered += names }
    }

    /** Drops [programs]. */
    fun forget(programs: Set<ProgramName>) {
        lock.withLock { registered -= programs }
    }

    /** Answers a home that has become the owner of partitions. */
    fun answer(
        claim: ClaimPartitions,
        isComplete: Boolean,
    ): Message =
        lock.withLock {
            val newer = claim.partitions.firstNotNullOfOrNull { newerOwner(it, claim) }
            if (newer != null) return Declined("$newer is a newer owner")
            claim.partitions.forEach { claims[it] = Claim(claim.owner, claim.revision) }
            ServedPrograms(self.home, programsOf(claim.partitions.toSet()), isComplete)
        }

    /** The owner of [partition] if this home knows of one since [claim]. */
    private fun newerOwner(
        partition: Int,
        claim: ClaimPartitions,
    ): HomeEndpoint? {
        val view = homes.view
        val own = view.ownerOf(partition).takeIf { view.revision.value > claim.revision }
        val claimed = claims[partition]?.takeIf { it.revision > claim.revision }?.owner
        return listOfNotNull(own, claimed).firstOrNull { it != claim.owner }
    }

    private fun programsOf(partitions: Set<Int>): List<ListedProgram> {
        fun isWanted(program: ProgramName) = ProgramPartitions.of(program.value) in partitions

        val tokens = table.committedTokens(::isWanted)
        val names = tokens.keys + registered.filter(::isWanted)
        return names.map { ListedProgram(it, tokens[it] ?: 0, it in registered) }
    }
}
