package sycamore.services

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** What a [watch] yields. */
sealed interface Watched {
    /** All keys under the prefix at [revision], none deleted. Keys that are not among [items] do not exist. */
    data class Snapshot(
        val items: List<Item>,
        val revision: Revision,
    ) : Watched

    /** Keys that changed since, in order of their change; no change up to [revision] is missing. */
    data class Changes(
        val items: List<Item>,
        val revision: Revision,
    ) : Watched

    /** The service did not answer; the watch goes on by itself. */
    data class Unreachable(
        val reason: String,
    ) : Watched
}

/**
 * How a watch waits.
 *
 * @property wait how long the service may hold a call while nothing changes.
 * @property relist how often all keys are read again, against a service that lost its revisions unnoticed.
 * @property pause after a change, so that changes which come in series cost one call.
 */
data class WatchTimes(
    val wait: Duration = 30.seconds,
    val relist: Duration = 10.minutes,
    val pause: Duration = 250.milliseconds,
)

/**
 * Follows the keys under [prefix] until cancelled: first all of them, then each change.
 *
 * No change is missed for good. After each failure, and when the service's revision went back (it was restored, or a
 * stale replica answered), all keys are read again. A change may be yielded twice, and states older than ones already
 * yielded may follow a [Watched.Snapshot]; receivers that must not go back compare generations of their own.
 */
fun KeyValue.watch(
    prefix: String,
    times: WatchTimes = WatchTimes(),
    backoff: Backoff = Backoff(),
    time: TimeSource = TimeSource.Monotonic,
): Flow<Watched> =
    flow {
        while (true) {
            when (val listed = list(prefix)) {
                is Read.Found -> {
                    backoff.reset()
                    emit(Watched.Snapshot(listed.value, listed.revision))
                    followFrom(prefix, listed.revision, times, time).collect { emit(it) }
                }
                is Read.Unreachable -> {
                    emit(Watched.Unreachable(listed.reason))
                }
            }
            delay(backoff.next())
        }
    }

/** The changes after [start], until the service fails, its revision goes back, or it is time to list again. */
private fun KeyValue.followFrom(
    prefix: String,
    start: Revision,
    times: WatchTimes,
    time: TimeSource,
): Flow<Watched> =
    flow {
        val since = time.markNow()
        var seen = start
        while (since.elapsedNow() < times.relist) {
            val read = changes(prefix, seen, times.wait)
            if (read is Read.Unreachable) emit(Watched.Unreachable(read.reason))
            if (read !is Read.Found || read.revision < seen) return@flow
            seen = maxOf(read.revision, read.value.maxOfOrNull { it.version } ?: seen)
            if (read.value.isNotEmpty()) {
                emit(Watched.Changes(read.value, seen))
                delay(times.pause)
            }
        }
    }
