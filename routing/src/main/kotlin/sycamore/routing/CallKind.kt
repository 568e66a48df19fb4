package sycamore.routing

/**
 * What a call is to the other calls of its program. This follows from its route and its head alone: the service that it is sent to
 * only determines how it is sent.
 */
enum class CallKind {
    /**
     * A call that other calls depend on, through the history or the token budget of their program. It is answered with a stream, and a
     * home runs it.
     */
    TURN,

    /** A call that is answered with a stream, and that no other call depends on. */
    STREAM,

    /** A call that is answered as a whole, and that no other call depends on. */
    SINGLE,
    ;

    companion object {
        /** The kind of a call with [head] on [route]. */
        fun of(
            route: Route,
            head: CallerHead,
        ): CallKind =
            when {
                route.repeat != RepeatPolicy.ONCE_STREAMED -> SINGLE
                route.retention != null || head.tokenBudget != null -> TURN
                else -> STREAM
            }
    }
}
