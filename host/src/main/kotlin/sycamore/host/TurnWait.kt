package sycamore.host

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Waits for changes of a program, up to [limit] in all. */
internal class TurnWait(
    time: TimeSource.WithComparableMarks,
    private val limit: Duration,
) {
    private val began = time.markNow()

    /** Waits until [changes] is no longer [seen] or the home has [ended]; false when the limit has passed. */
    suspend fun until(
        changes: StateFlow<Long>,
        seen: Long,
        ended: Deferred<*>,
    ): Boolean {
        val left = limit - began.elapsedNow()
        if (!left.isPositive()) return false
        return withTimeoutOrNull(left) {
            coroutineScope {
                val changed = async { changes.first { it != seen } }
                select {
                    changed.onAwait { }
                    ended.onAwait { }
                }
                changed.cancel()
                true
            }
        } ?: false
    }
}
