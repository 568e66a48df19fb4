package sycamore.soak

/** The ways in which an upstream misbehaves in one exchange. */
internal enum class UpstreamFault {
    /** A refusal is written twice at once. */
    REFUSAL_TWICE,

    /** A refusal is written again after the next request on the connection was read. */
    REFUSAL_TWICE_LATE,

    /** A complete answer is written twice at once. */
    ANSWER_TWICE,

    /** A complete answer is written again after the next request on the connection was read. */
    ANSWER_TWICE_LATE,

    /** The upstream is full and refuses the call. */
    FULL,

    /** A call that names this upstream is refused as if it named another one. */
    MISDIRECTED,

    /** The call runs, and the answer has the status of a refusal without the sign that it did not run. */
    UNSIGNED_REFUSAL,

    /** The answer has no length and ends with the connection. */
    UNFRAMED,

    /** The answer has no length, and the connection is reset inside it. */
    UNFRAMED_RESET,

    /** The answer has a length, and the connection ends inside it; a stream ends inside an event. */
    BODY_CUT,

    /** The connection ends inside the head. */
    HEAD_CUT,

    /** The connection is reset inside the head. */
    HEAD_RESET,

    /** The call runs, and the connection ends without an answer. */
    ANSWER_LOST,

    /** The answer comes late. */
    SLOW,

    /** The connection is closed while it is idle after a complete answer. */
    IDLE_CLOSE,
    ;

    val isRepeatedRefusal: Boolean get() = this == REFUSAL_TWICE || this == REFUSAL_TWICE_LATE

    /** Whether the exchange ends before the upstream runs the call. */
    val isRefusal: Boolean get() = this in setOf(REFUSAL_TWICE, REFUSAL_TWICE_LATE, FULL, MISDIRECTED)
}
