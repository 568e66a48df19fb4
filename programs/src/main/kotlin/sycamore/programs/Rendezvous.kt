package sycamore.programs

import sycamore.model.Digest

/** Rendezvous hashing: everyone who knows the same candidates picks the same one, and few keys move when they change. */
object Rendezvous {
    /** Orders [candidates] for [key], the best one first. */
    fun <T> order(
        key: String,
        candidates: Collection<T>,
    ): List<T> = candidates.sortedBy { Digest.sha256("$key\n$it".encodeToByteArray()).hex }
}
