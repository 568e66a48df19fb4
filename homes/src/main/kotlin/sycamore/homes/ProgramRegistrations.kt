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
import sycamore.turns.TurnEnd
import sycamore.turns.TurnRecord
import sycamore.turns.TurnStarted
import sycamore.turns.TurnTable
import sycamore.turns.TurnsCounted
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The programs of the home [self] that are registered in the directory, and the owners of the directory's partitions
 * as far as it knows them.
 *
 * A new owner of a partition requests from every home a list of its programs in that partition. A home that has
 * answered no longer registers programs with the former owner, so that the new owner misses no program.
 */
internal class ProgramRegistrations(
    private val self: HomeEndpoint,
    private val homes: HomeList,
    private val table: TurnTable,
) {
    /** An owner whose claim this home has answered, and the revision of the list of homes that makes it the owner. */
    private class Claim(
        val owner: HomeEndpoint,
        val revision: Long,
    )

    private val lock = ReentrantLock()
    private val claims = HashMap<Int, Claim>()
    private val registered = HashSet<ProgramName>()

    /** Programs that got a provisional turn here. */
    private val provisional = HashSet<ProgramName>()

    /** Whether [program] is registered here. */
    fun contains(program: ProgramName): Boolean = lock.withLock { program in registered }

    /** Whether [program] has had its provisional turn here. */
    fun isProvisional(program: ProgramName): Boolean = lock.withLock { program in provisional }

    /** The owner of [program]'s partition; null when none is known. */
    fun ownerOf(program: ProgramName): HomeEndpoint? =
        lock.withLock { ownerOf(ProgramPartitions.partitionOf(program.value)) }

    /** The home that registers [program] if the owner of its partition does not respond; null when there is none. */
    fun deputyOf(program: ProgramName): HomeEndpoint? =
        homes.view.deputyOf(ProgramPartitions.partitionOf(program.value))

    private fun ownerOf(partition: Int): HomeEndpoint? {
        val view = homes.view
        val claim = claims[partition]
        return if (claim != null && claim.revision > view.revision.value) claim.owner else view.ownerOf(partition)
    }

    /**
     * Records that [owner] has registered [program] at this home. Returns false if another home has become the owner
     * meanwhile; the program then has to be registered there.
     */
    fun recordRegistration(
        program: ProgramName,
        owner: HomeEndpoint,
    ): Boolean = addIfOwner(registered, program, owner)

    /**
     * Records that [program] gets a provisional turn here, by the answer of [owner] or its deputy. Returns false if
     * another home has become the owner meanwhile: that one may have given the program a turn at another home already.
     */
    fun recordProvisional(
        program: ProgramName,
        owner: HomeEndpoint,
    ): Boolean = addIfOwner(provisional, program, owner)

    /** Adds [program] to [programs] if [owner] is the owner of its partition. Returns whether it is. */
    private fun addIfOwner(
        programs: MutableSet<ProgramName>,
        program: ProgramName,
        owner: HomeEndpoint,
    ): Boolean =
        lock.withLock {
            val isOwner = ownerOf(ProgramPartitions.partitionOf(program.value)) == owner
            if (isOwner) programs += program
            isOwner
        }

    /** Adds the programs that a lost home had registered according to the [records] of its log. */
    fun adopt(records: List<TurnRecord>) {
        val names = records.filter(::isOfRegistered).map { it.program }
        lock.withLock { registered += names }
    }

    private fun isOfRegistered(record: TurnRecord): Boolean =
        when (record) {
            is TurnStarted -> record.isRegistered
            is TurnsCounted -> record.isRegistered
            is TurnEnd -> false
        }

    /** Removes [programs]. */
    fun forget(programs: Set<ProgramName>) {
        lock.withLock {
            registered -= programs
            provisional -= programs
        }
    }

    /** Answers the [claim] of a home that has become the owner of partitions with the programs of this home in them. */
    fun answerClaim(
        claim: ClaimPartitions,
        isComplete: Boolean,
    ): Message =
        lock.withLock {
            val newer = claim.partitions.firstNotNullOfOrNull { newerOwner(it, claim) }
            if (newer != null) return Declined("$newer is a newer owner")
            claim.partitions.forEach { claims[it] = Claim(claim.owner, claim.revision) }
            ServedPrograms(self.home, listPrograms(claim.partitions.toSet()), isComplete)
        }

    /**
     * The owner of [partition] by a later revision of the list of homes than that of [claim]; null if this home knows
     * of none.
     */
    private fun newerOwner(
        partition: Int,
        claim: ClaimPartitions,
    ): HomeEndpoint? {
        val view = homes.view
        val own = view.ownerOf(partition).takeIf { view.revision.value > claim.revision }
        val claimed = claims[partition]?.takeIf { it.revision > claim.revision }?.owner
        return listOfNotNull(own, claimed).firstOrNull { it != claim.owner }
    }

    private fun listPrograms(partitions: Set<Int>): List<ListedProgram> {
        fun isRequested(program: ProgramName) = ProgramPartitions.partitionOf(program.value) in partitions

        val tokens = table.committedTokens(::isRequested)
        val names = tokens.keys + (registered + provisional).filter(::isRequested)
        return names.map { ListedProgram(it, tokens[it] ?: 0, it in registered) }
    }
}
