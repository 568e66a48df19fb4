package sycamore.decisions.programs

import org.apache.commons.codec.digest.MurmurHash3
import sycamore.model.HomeId

/**
 * Division of the directory of programs among homes: the hash of a program's name selects its partition, and each
 * partition has one owner, the home with the highest hash for it (rendezvous hashing).
 *
 * When a home joins or leaves, only the partitions that it owns afterwards or owned before change their owner.
 */
object ProgramPartitions {
    /**
     * Number of partitions, which also limits the number of homes that own a part of the directory. Each owner queries
     * all homes when it starts, so after a power failure the number of messages grows linearly with the number of
     * homes, not quadratically. The loss of an owner delays only the new programs of its partitions.
     */
    const val COUNT = 8

    /** The partition of the program named [name]. */
    fun partitionOf(name: String): Int = Math.floorMod(hash(name), COUNT)

    /** The owner and the deputy of each partition, chosen from [homes]; empty if there are no homes. */
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
