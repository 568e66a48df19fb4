package sycamore.decisions.accounts

/** Kind of a request of an account, in the order in which kinds receive credit. */
enum class RequestKind {
    /** A turn or a tool call of a program that is under way. */
    CONTINUATION,

    /** A request that belongs to no program. */
    ORDINARY,

    /** The first turn of a program. */
    START,
}
