package sycamore.decisions.accounts

import sycamore.model.HomeId

/**
 * Request of the owner of [partitions] to the home [to]: promise not to become the decider for them on grounds of a revision up to
 * [revision], and stop deciding for them.
 */
data class LimitClaim(
    val to: HomeId,
    val partitions: Set<Int>,
    val revision: Long,
)
