package sycamore.bench.history

/** Finds the violations of one invariant in a history. */
internal typealias Check = (History) -> List<Violation>

/** The ten invariants that hold in every run, each with its check. The names of the entries are printed. */
internal enum class Invariant(
    val check: Check,
) {
    ORDER(::checkOrder),
    HISTORY(::checkHistory),
    BUDGET(::checkBudget),
    EVICTION(::checkEviction),
    WHOLE_ANSWER(::checkCompleteAnswer),
    NOT_RUN(::checkNotRun),
    AT_MOST_ONCE(::checkAtMostOnce),
    LEAVING(::checkLeaving),
    GRACEFUL_STOP(::checkGracefulStop),
    CONFIGURATION(::checkConfiguration),
}

/** Returns the violations of all invariants in [history]. */
internal fun check(history: History): List<Violation> = Invariant.entries.flatMap { it.check(history) }
