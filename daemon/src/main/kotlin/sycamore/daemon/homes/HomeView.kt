package sycamore.daemon.homes

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import sycamore.decisions.programs.PartitionOwners
import sycamore.decisions.programs.ProgramPartitions
import sycamore.links.HomeEndpoint
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.services.Revision
import sycamore.turns.HomeEntry

/**
 * A snapshot of all registered homes and their successors, as of one [revision] of the key-value service.
 *
 * A home serves only after it has been registered, so the last view contains all homes that have programs, even while
 * the key-value service is unavailable.
 */
data class HomeView(
    val revision: Revision,
    private val entries: ImmutableMap<HomeId, HomeEntry>,
) {
    /** The homes that have not been taken over. */
    val serving: List<HomeEndpoint> by lazy {
        entries.values.filter { it.successor == null }.map { HomeEndpoint(it.home, it.address) }
    }

    /** The addresses of the homes in [serving]. */
    val addresses: Set<Address> by lazy { serving.mapTo(HashSet()) { it.address } }

    /** The homes that are registered, with those that were taken over. */
    val registered: List<HomeEndpoint> by lazy { entries.values.map { HomeEndpoint(it.home, it.address) } }

    /** The owners of the partitions; empty if no home is registered. */
    val owners: List<PartitionOwners<HomeEndpoint>> by lazy {
        val byId = serving.associateBy { it.home }
        ProgramPartitions.owners(byId.keys).map { it.map(byId::getValue) }
    }

    /** Whether [home] is registered and has not been taken over. */
    fun serves(home: HomeId): Boolean = entries[home]?.let { it.successor == null } == true

    /** Returns the home that keeps the directory of [partition]; null if no home is registered. */
    fun ownerOf(partition: Int): HomeEndpoint? = owners.getOrNull(partition)?.owner

    /** Returns the home that replaces the owner of [partition] if that is lost; null if there is none. */
    fun deputyOf(partition: Int): HomeEndpoint? = owners.getOrNull(partition)?.deputy

    /** Follows the successors of [home] to the home that serves its programs now. */
    fun currentHome(home: HomeEndpoint): HomeEndpoint {
        var next = home
        repeat(MAX_SUCCESSORS) {
            val entry = entries[next.home] ?: return next
            next = HomeEndpoint(entry.successor ?: return next, entry.successorAddress ?: return next)
        }
        return next
    }

    companion object {
        /** The view before the registrations have been read. */
        val EMPTY = HomeView(Revision.ABSENT, persistentMapOf())

        /** Upper bound of successive takeovers of one home's programs while the entries of lost homes are kept. */
        private const val MAX_SUCCESSORS = 16
    }
}
