package sycamore.soak

import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.ComparableTimeMark

/** The kinds of calls, by how their route treats repeated runs. */
internal enum class CallKind(
    val prefix: String,
) {
    REPEATABLE("/repeatable/"),
    ONCE("/once/"),
    TURN("/turns/"),
    ;

    /** The statuses with which a daemon promises that a call of this kind did not run and never will. */
    val promises: Set<Int> get() = if (this == TURN) PROMISES + BUDGET_SPENT else PROMISES

    companion object {
        const val BUDGET_SPENT = 402
        val PROMISES = setOf(408, 421, 429, 503)
    }
}

/**
 * One run of an attempt at an upstream.
 *
 * @property body the complete body of the run's response.
 * @property fault the fault of the upstream during this run; null if there is none.
 * @property isLeaving whether the response announces that the upstream leaves.
 * @property isStream whether the response is a stream of events.
 * @property isConnectionClean whether all earlier exchanges on the connection were without faults.
 */
internal class Run(
    val upstream: String,
    val body: ByteArray,
    val fault: UpstreamFault?,
    val isConnectionClean: Boolean,
    val at: ComparableTimeMark,
    val isLeaving: Boolean = false,
    val isStream: Boolean = false,
) {
    /** The time at which the upstream ended its work; null while it is at work. */
    @Volatile
    var end: ComparableTimeMark? = null

    /** Whether the whole response was written in a way that shows its end. */
    @Volatile
    var isWritten = false
}

/**
 * One attempt of a caller, with its own id.
 *
 * @property prompt the body that an upstream has to receive.
 * @property key the key that it is sent with; null if the configuration has no accounts.
 * @property isForeign whether it continues a turn of another account.
 */
internal class Attempt(
    val id: String,
    val kind: CallKind,
    val gateway: Daemon,
    val path: String,
    val prompt: String,
    val at: ComparableTimeMark,
    val key: AccountKey? = null,
    val isForeign: Boolean = false,
) {
    val runs = CopyOnWriteArrayList<Run>()

    /** All arrivals at upstreams. */
    val receipts = CopyOnWriteArrayList<Receipt>()

    /** The status that promised that the attempt never runs; null if there was none. */
    @Volatile
    var promise: Int? = null
}
