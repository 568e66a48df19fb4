package sycamore.bench.recovery

/** A point in the course of a call at which a trial injects a failure. */
internal enum class FailurePoint {
    /** The entry sends the call to its home. */
    CALL_SENT,

    /** The home has accepted the call. */
    ACCEPTED,

    /** The home sends its records to retainers or to the key-value service. */
    RECORDS_SENT,

    /** The records are retained or committed. */
    RECORDS_SAFE,

    /** The call reaches the upstream. */
    UPSTREAM_STARTED,

    /** The upstream has sent a part of the answer. */
    UPSTREAM_ANSWERING,

    /** The upstream has sent the complete answer. */
    UPSTREAM_FINISHED,

    /** The entry has received a part of the answer. */
    ANSWER_FORWARDED,

    /** The entry has received the last message of the answer. */
    ANSWER_WHOLE,
}

/** The daemons that a trial kills. */
internal enum class KilledDaemons {
    HOME,
    ENTRY,
    HOME_AND_ENTRY,
    GATE,
    HOME_AND_GATE,
}

/** The kind of call during which a trial injects a failure. */
internal enum class ProbedCall {
    /** A chat completion, whose gate is on the host of its home. */
    CHAT,

    /** A call that must not be repeated, whose gate is on another host. */
    ORDER,
}
