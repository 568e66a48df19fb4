package sycamore.programs

import sycamore.model.Digest

/**
 * Rendezvous hashing: processes with the same candidates choose the same one for a key, and only few keys are assigned
 * to another candidate when the candidates change.
 */
object Rendezvous {
    /** Orders [candidates] by preference for [key], the preferred one first. */
    fun <T> order(
        key: String,
        candidates: Collection<T>,
    ): List<T> = candidates.sortedBy { Digest.sha256("$key\n$it".encodeToByteArray()).hex }
}
