package sycamore.decisions.accounts

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import sycamore.decisions.programs.PartitionOwners
import sycamore.model.HomeId

/**
 * The registered homes as of one revision of the key-value service.
 *
 * @property isServing for each home whether it serves; false if it was taken over.
 * @property owners the owners of the partitions among the serving homes.
 */
data class HomesAsSeen(
    val revision: Long,
    val isServing: ImmutableMap<HomeId, Boolean>,
    val owners: ImmutableList<PartitionOwners<HomeId>>,
)
