package sycamore.decisions.accounts

import kotlinx.serialization.Serializable

/** A number of requests of each kind. */
@Serializable
data class RequestCounts(
    val continuations: Int = 0,
    val ordinary: Int = 0,
    val starts: Int = 0,
) {
    /** The number of all requests. */
    val total: Int get() = continuations + ordinary + starts

    /** The number of requests of [kind]. */
    operator fun get(kind: RequestKind): Int =
        when (kind) {
            RequestKind.CONTINUATION -> continuations
            RequestKind.ORDINARY -> ordinary
            RequestKind.START -> starts
        }

    /** Adds the counts of each kind. */
    operator fun plus(other: RequestCounts): RequestCounts =
        RequestCounts(continuations + other.continuations, ordinary + other.ordinary, starts + other.starts)

    companion object {
        val NONE = RequestCounts()

        /** The counts that [count] returns for each kind. */
        fun of(count: (RequestKind) -> Int): RequestCounts =
            RequestCounts(count(RequestKind.CONTINUATION), count(RequestKind.ORDINARY), count(RequestKind.START))
    }
}
