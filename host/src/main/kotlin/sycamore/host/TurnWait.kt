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

/** Waits for changes of a program, with the timeout [limit] for all waits together. */
internal class TurnWait(
    time: TimeSource.WithComparableMarks,
    private val limit: Duration,
) {
    private val began = time.markNow()

    /** Waits until [changes] differs from [seen] or the home has [ended]. Returns false if the timeout has passed. */
    suspend fun awaitChange(
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
