package sycamore.daemon.homes

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import sycamore.decisions.programs.PartitionOwners
import sycamore.decisions.programs.ProgramPartitions
import sycamore.links.HomeEndpoint
import sycamore.model.HomeId
import sycamore.services.Revision
import sycamore.turns.HomeEntry

/**
 * All homes that registered themselves, with their successors, as of one [revision] of the key-value service.
 *
 * A home serves only once it is registered, so the view that was read last names all homes with programs, also while the
 * key-value service is away.
 */
data class HomeView(
    val revision: Revision,
    private val entries: ImmutableMap<HomeId, HomeEntry>,
) {
    /** Homes that nobody has taken over. */
    val serving: List<HomeEndpoint> by lazy {
        entries.values.filter { it.successor == null }.map { HomeEndpoint(it.home, it.address) }
    }

    private val owners: List<PartitionOwners<HomeEndpoint>> by lazy {
        val byId = serving.associateBy { it.home }
        ProgramPartitions.owners(byId.keys).map { it.map(byId::getValue) }
    }

    /** Whether [home] is registered and nobody has taken it over. */
    fun serves(home: HomeId): Boolean = entries[home]?.let { it.successor == null } == true

    /** The home that keeps the directory of [partition]; null when no home is registered. */
    fun ownerOf(partition: Int): HomeEndpoint? = owners.getOrNull(partition)?.owner

    /** The home that will keep the directory of [partition] if its owner is lost; null when there is none. */
    fun deputyOf(partition: Int): HomeEndpoint? = owners.getOrNull(partition)?.deputy

    /** The home that serves the programs of [home] now. */
    fun present(home: HomeEndpoint): HomeEndpoint {
        var next = home
        repeat(MAX_SUCCESSORS) {
            val entry = entries[next.home] ?: return next
            next = HomeEndpoint(entry.successor ?: return next, entry.successorAddress ?: return next)
        }
        return next
    }

    companion object {
        /** Before anything was read. */
        val EMPTY = HomeView(Revision.ABSENT, persistentMapOf())

        /** Takeovers of one home's programs, one after the other, within the time that entries of lost homes are kept. */
        private const val MAX_SUCCESSORS = 16
    }
}
