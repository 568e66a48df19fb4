package sycamore.bench.history

/** Finds where a history breaks one promise. */
internal typealias Check = (History) -> List<Violation>

/** The ten promises of "What must always hold". */
internal enum class Promise(
    val check: Check,
) {
    ORDER(::checkOrder),
    HISTORY(::checkHistory),
    BUDGET(::checkBudget),
    EVICTION(::checkEviction),
    WHOLE_ANSWER(::checkWholeAnswer),
    NOT_RUN(::checkNotRun),
    AT_MOST_ONCE(::checkAtMostOnce),
    LEAVING(::checkLeaving),
    GRACEFUL_STOP(::checkGracefulStop),
    CONFIGURATION(::checkConfiguration),
}

/** Checks all promises. */
internal fun check(history: History): List<Violation> = Promise.entries.flatMap { it.check(history) }
