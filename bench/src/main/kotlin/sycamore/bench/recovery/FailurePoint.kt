package sycamore.bench.recovery

/** Where on the way of a call something dies. */
internal enum class FailurePoint {
    /** The entry sends the call to its home. */
    CALL_SENT,

    /** The home has accepted it. */
    ACCEPTED,

    /** The home has its records kept or committed. */
    RECORDS_SENT,

    /** They are kept or committed. */
    RECORDS_SAFE,

    /** The call reaches the upstream. */
    UPSTREAM_STARTED,

    /** The upstream has answered in part. */
    UPSTREAM_ANSWERING,

    /** The upstream has answered whole. */
    UPSTREAM_FINISHED,

    /** The entry has got a part of the answer. */
    ANSWER_FORWARDED,

    /** The entry has got the last message of the answer. */
    ANSWER_WHOLE,
}

/** What dies. */
internal enum class Victims {
    HOME,
    ENTRY,
    HOME_AND_ENTRY,
    GATE,
    HOME_AND_GATE,
}

/** The call on whose way something dies. */
internal enum class ProbedCall {
    /** A chat completion; its gate is beside its home. */
    CHAT,

    /** A call that may not be repeated; its gate is on another host. */
    ORDER,
}
