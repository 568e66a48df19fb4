package sycamore.soak

import sycamore.platform.SampleDocuments
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** A route that was added to the configuration, and dropped by a later version. */
internal class ChangingRoute(
    val prefix: String,
) {
    /** The time at which the store acknowledged the version with this route; null before that. */
    @Volatile
    var addedAt: ComparableTimeMark? = null

    /** Whether a version without this route may have been written. */
    @Volatile
    var mayBeDropped = false

    /** The time at which the store acknowledged a version without this route; null before that. */
    @Volatile
    var droppedAt: ComparableTimeMark? = null
}

/** When routes were added and dropped. Safe for use by several threads, of which one changes routes. */
internal class RouteHistory(
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val routes = CopyOnWriteArrayList<ChangingRoute>()

    /** The routes whose state gateways have to know. */
    val recent: List<ChangingRoute> get() = routes.takeLast(RECENT)

    /** Writes a version of the configuration by [write], with [route] and without the earlier ones. */
    suspend fun replace(
        route: ChangingRoute?,
        write: suspend () -> Unit,
    ) {
        val earlier = routes.filter { it.droppedAt == null }
        earlier.forEach { it.mayBeDropped = true }
        write()
        val now = time.markNow()
        earlier.forEach { it.droppedAt = now }
        if (route != null) routes += route.apply { addedAt = now }
    }

    /**
     * How much too late a gateway applied the configuration if it answered a request to [route], sent at [sentAt], with
     * [status]; null if it was not late. To be called when the answer arrives.
     */
    fun lateness(
        route: ChangingRoute,
        sentAt: ComparableTimeMark,
        status: Int,
    ): Duration? {
        val changedAt =
            when {
                status == NOT_FOUND && !route.mayBeDropped -> route.addedAt
                status in SUCCESSES -> route.droppedAt
                else -> null
            }
        return changedAt?.let { sentAt - it - SampleDocuments.applyTime }?.takeIf { it > Duration.ZERO }
    }

    private companion object {
        const val RECENT = 3
        const val NOT_FOUND = 404
        val SUCCESSES = 200..299
    }
}
