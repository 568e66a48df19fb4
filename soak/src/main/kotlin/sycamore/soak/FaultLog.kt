package sycamore.soak

import sycamore.platform.SampleDocuments
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The kinds of faults from outside a daemon. Those that are planned must not cut off any request. */
internal enum class OutsideFault(
    val isPlanned: Boolean,
    val mayCut: Boolean = !isPlanned,
) {
    TERMINATE(true),
    RELOAD(true),
    CONFIGURE(true),
    KILL(false),
    FREEZE(false),
    STORE(false),
    UPSTREAMS(false),

    /** An upstream leaves after it has announced it. It completes all calls. */
    LEAVE(false, mayCut = false),

    /** Some or all open connections of a daemon to the store fall silent. New ones work. */
    SILENCE(false, mayCut = false),

    /** A configuration moves the turns to other services, or takes the profile from the service with engines. */
    MOVE_TURNS(true),
}

/** Records which faults were in effect when. Safe for use by several threads. */
internal class FaultLog(
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Entry(
        val fault: OutsideFault,
        val target: Daemon?,
        val from: ComparableTimeMark,
    ) {
        @Volatile
        var until: ComparableTimeMark? = null
    }

    private val entries = ConcurrentLinkedQueue<Entry>()

    val counts: Map<OutsideFault, Int> get() = entries.groupingBy { it.fault }.eachCount()

    /** Runs [act] while [fault] is recorded as in effect on [target]; a null target means the whole deployment. */
    suspend fun record(
        fault: OutsideFault,
        target: Daemon?,
        act: suspend () -> Unit,
    ) {
        val entry = Entry(fault, target, time.markNow()).also { entries += it }
        try {
            act()
        } finally {
            entry.until = time.markNow()
        }
    }

    /** Whether an unplanned fault may have cut off [attempt]. */
    fun wasDisrupted(attempt: Attempt): Boolean = inEffect(attempt).any { it.fault.mayCut }

    /** Whether the gateway of [attempt] was stopped, reloaded or configured during it. */
    fun wasPlanned(attempt: Attempt): Boolean = inEffect(attempt).any { it.fault.isPlanned }

    /**
     * Whether [attempt] was cut by the end of a stop although it was sent early: an upstream still ran it in the last
     * sixth of the grace period.
     */
    fun outlastedStop(attempt: Attempt): Boolean =
        inEffect(attempt).any { entry ->
            val lastSixth = entry.from + SampleDocuments.gracePeriod * FIVE_SIXTHS
            entry.fault == OutsideFault.TERMINATE &&
                attempt.at <= entry.from + EARLY_TIME &&
                attempt.runs.any { run -> run.end.let { it == null || it > lastSixth } }
        }

    /** Whether [daemon] was stopped, killed or frozen after [since]. */
    fun wasInterrupted(
        daemon: Daemon,
        since: ComparableTimeMark,
    ): Boolean =
        entries.any { entry ->
            val until = entry.until
            entry.fault in INTERRUPTIONS && entry.target === daemon && (until == null || until > since)
        }

    /** Whether nothing has kept [daemon] from its work or from the store for the stable time before [moment]. */
    fun isInTouch(
        daemon: Daemon,
        moment: ComparableTimeMark,
    ): Boolean =
        entries.none { entry ->
            val until = entry.until
            entry.fault in DISCONNECTIONS &&
                entry.target === daemon &&
                (until == null || until + SETTLING_TIME > moment)
        }

    /** The time from which the connections of [daemon] to the store have to work again; null if they were never silenced. */
    fun settledAfterSilence(daemon: Daemon): ComparableTimeMark? =
        entries
            .filter { it.fault == OutsideFault.SILENCE && it.target === daemon }
            .maxOfOrNull { it.from + SETTLING_TIME }

    private fun inEffect(attempt: Attempt) =
        entries.filter { entry ->
            val until = entry.until
            (until == null || until + SETTLING_TIME > attempt.at) && concerns(entry, attempt)
        }

    /** Turns depend on all daemons, other calls only on their gateway. */
    private fun concerns(
        entry: Entry,
        attempt: Attempt,
    ) = entry.target == null ||
        entry.target === attempt.gateway ||
        (attempt.kind == CallKind.TURN && !(entry.fault.isPlanned && entry.target.role == Role.GATEWAY))

    private companion object {
        /** The time after a fault during which its effects do not count. */
        val SETTLING_TIME: Duration = 4.seconds

        /** Requests sent this long after the signal to stop may still be cut if they take long. */
        val EARLY_TIME: Duration = 3.seconds
        const val FIVE_SIXTHS = 5.0 / 6
        val INTERRUPTIONS = setOf(OutsideFault.TERMINATE, OutsideFault.KILL, OutsideFault.FREEZE)
        val DISCONNECTIONS = INTERRUPTIONS + OutsideFault.STORE + OutsideFault.SILENCE
    }
}
