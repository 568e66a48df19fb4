package sycamore.decisions.programs

import org.apache.commons.codec.digest.MurmurHash3
import sycamore.model.HomeId

/**
 * Divides the directory of programs among homes: each program's name falls into one partition, and each partition has
 * one owner, the home with the highest hash for it (rendezvous hashing).
 *
 * A home that joins or leaves moves only the partitions that it owns then or owned before.
 */
object ProgramPartitions {
    /**
     * Partitions, which is also the most homes that keep a part of the directory. Each of these asks all homes when it begins, so
     * messages after a loss of power grow with the homes and not with their square. A lost owner delays one part of new programs.
     */
    const val COUNT = 8

    /** The partition of the program called [name]. */
    fun of(name: String): Int = Math.floorMod(hash(name), COUNT)

    /** The owner and the deputy of each partition among [homes]; empty if there are none. */
    fun owners(homes: Collection<HomeId>): List<PartitionOwners<HomeId>> {
        if (homes.isEmpty()) return emptyList()
        val hashes = homes.sortedBy { it.toString() }.map { it to hash(it.toString()) }
        return List(COUNT) { partition -> ownersOf(partition, hashes) }
    }

    private fun ownersOf(
        partition: Int,
        hashes: List<Pair<HomeId, Long>>,
    ): PartitionOwners<HomeId> {
        var owner = hashes.first().first
        var ownerRank = Int.MIN_VALUE
        var deputy: HomeId? = null
        var deputyRank = Int.MIN_VALUE
        for ((home, hash) in hashes) {
            val rank = MurmurHash3.hash32(partition.toLong(), hash)
            if (rank > ownerRank) {
                deputy = owner.takeIf { it != home }
                deputyRank = ownerRank
                owner = home
                ownerRank = rank
            } else if (rank > deputyRank) {
                deputy = home
                deputyRank = rank
            }
        }
        return PartitionOwners(owner, deputy)
    }

    private fun hash(text: String): Long = MurmurHash3.hash128x64(text.encodeToByteArray())[0]
}
