package sycamore.decisions.programs

/**
 * The homes that are responsible for one partition of the directory of programs.
 *
 * @property owner home that holds the partition.
 * @property deputy home that becomes the owner if [owner] is lost; null if there is no other home.
 */
data class PartitionOwners<T>(
    val owner: T,
    val deputy: T?,
) {
    /** The same owners, each converted by [transform]. */
    fun <U> map(transform: (T) -> U): PartitionOwners<U> = PartitionOwners(transform(owner), deputy?.let(transform))
}
