package sycamore.decisions.programs

/**
 * Who keeps a partition of the directory of programs.
 *
 * @property deputy becomes the owner if [owner] is lost; null if there is no other.
 */
data class PartitionOwners<T>(
    val owner: T,
    val deputy: T?,
) {
    /** The same with each home changed by [change]. */
    fun <U> map(change: (T) -> U): PartitionOwners<U> = PartitionOwners(change(owner), deputy?.let(change))
}
