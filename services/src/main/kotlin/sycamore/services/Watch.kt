package sycamore.services

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** An event emitted by [watch]. */
sealed interface WatchEvent {
    /** All keys with the prefix that exist at [revision], without deleted ones. No other keys exist. */
    data class Snapshot(
        val items: List<Item>,
        val revision: Revision,
    ) : WatchEvent

    /** The keys changed since the previous event, in order of their changes; complete up to [revision]. */
    data class Changes(
        val items: List<Item>,
        val revision: Revision,
    ) : WatchEvent

    /** The service did not answer; the watch retries by itself. */
    data class Unreachable(
        val reason: String,
    ) : WatchEvent
}

/**
 * The age of what a watch knows: the time since the service last answered it.
 *
 * @param reading reads a clock for [confirmedAt]; null if that is not needed.
 */
class WatchAge(
    private val time: TimeSource = TimeSource.Monotonic,
    private val reading: (() -> Duration)? = null,
) {
    @Volatile
    private var answeredAt: TimeMark? = null

    @Volatile
    private var confirmation: TimeMark? = null

    /**
     * The reading of the clock when the call was sent that was answered last, so that what the watch knows includes all changes made
     * before; null before the first answer.
     */
    @Volatile
    var confirmedAt: Duration? = null
        private set

    /** The time since the last answer, an empty one included; null before the first one. */
    val elapsed: Duration? get() = answeredAt?.elapsedNow()

    /**
     * The time since the service is certain to have had no newer state, however late its answer came; null before the first one.
     * Counts from the sending of the last call, plus the time for which an answer without changes says that the service waited.
     */
    val sinceConfirmed: Duration? get() = confirmation?.elapsedNow()

    /** Reads the clock before a call is sent. */
    internal fun read(): Duration? = reading?.invoke()

    internal fun recordAnswer(
        confirmation: TimeMark,
        sentAt: Duration?,
    ) {
        this.confirmation = confirmation
        confirmedAt = sentAt
        answeredAt = time.markNow()
    }
}

/**
 * The timings of a [watch].
 *
 * @property wait the longest time that the service may hold a call open while nothing changes.
 * @property relistInterval the interval at which all keys are read again, in case the service has lost revisions
 * without this being detected.
 * @property pause the delay after a change, so that a series of changes needs only one call.
 * @property confirms whether a call after a change waits so briefly that [WatchAge.sinceConfirmed] does not exceed [wait] by much
 * more than [pause], for one call more.
 */
data class WatchTimings(
    val wait: Duration = 30.seconds,
    val relistInterval: Duration = 10.minutes,
    val pause: Duration = 250.milliseconds,
    val confirms: Boolean = false,
) {
    /**
     * The wait of the next call. A [pause] before it is part of the wait, since the connection of that call may have fallen silent
     * during the pause.
     */
    internal fun waitFor(
        age: WatchAge,
        maxWait: Duration,
        isAfterPause: Boolean,
    ): Duration {
        val limit = minOf(wait, maxWait)
        val elapsed = if (confirms) age.sinceConfirmed else pause.takeIf { isAfterPause }
        return (limit - (elapsed ?: Duration.ZERO)).coerceIn(minOf(MIN_WAIT, limit), limit)
    }

    private companion object {
        val MIN_WAIT = 200.milliseconds
    }
}

/**
 * Watches the keys that begin with [prefix] until cancelled: emits all of them first, then each change.
 *
 * No change is missed permanently. After each failure, and when the revision of the service decreased (it was restored,
 * or a stale replica answered), all keys are read again. A change may be emitted twice, and states that are older than
 * ones already emitted may follow a [WatchEvent.Snapshot]; receivers that must not apply older states compare
 * generations of their own.
 *
 * @param age is set after each answer has been emitted, so that a receiver finds the time since the answer before.
 * @param recheck makes the watch read all keys again.
 */
fun KeyValue.watch(
    prefix: String,
    times: WatchTimings = WatchTimings(),
    backoff: Backoff = Backoff(),
    time: TimeSource = TimeSource.Monotonic,
    age: WatchAge = WatchAge(time),
    recheck: Recheck = Recheck(),
): Flow<WatchEvent> =
    flow {
        while (true) {
            val began = time.markNow()
            val sentAt = age.read()
            when (val listed = list(prefix)) {
                is ReadResult.Found -> {
                    backoff.reset()
                    emit(WatchEvent.Snapshot(listed.value, listed.revision))
                    age.recordAnswer(began, sentAt)
                    changesAfter(prefix, listed.revision, times, time, age, recheck).collect { emit(it) }
                }
                is ReadResult.Unreachable -> {
                    emit(WatchEvent.Unreachable(listed.reason))
                }
            }
            // The time that a silent service has taken is part of the pause.
            delay(backoff.next() - began.elapsedNow())
        }
    }

/**
 * Passes the events of [watch] to [receive] until cancelled. If [receive] fails, [onFailure] is called, and after a
 * pause all keys are read again: a receiver must not stop following the service because of one value in it.
 */
suspend fun KeyValue.follow(
    prefix: String,
    onFailure: (Exception) -> Unit,
    times: WatchTimings = WatchTimings(),
    time: TimeSource = TimeSource.Monotonic,
    age: WatchAge = WatchAge(time),
    recheck: Recheck = Recheck(),
    receive: suspend (WatchEvent) -> Unit,
): Nothing {
    val pauses = Backoff.shortPauses()
    while (true) {
        try {
            watch(prefix, times, Backoff.shortPauses(), time, age, recheck).collect {
                receive(it)
                pauses.reset()
            }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            onFailure(e)
        }
        delay(pauses.next())
    }
}

/**
 * The changes after [start], until the service fails, its revision decreases, [recheck] is requested, or all keys have to be read
 * again.
 */
private fun KeyValue.changesAfter(
    prefix: String,
    start: Revision,
    times: WatchTimings,
    time: TimeSource,
    age: WatchAge,
    recheck: Recheck,
): Flow<WatchEvent> =
    flow {
        val started = time.markNow()
        var latest = start
        var isAfterPause = false
        while (started.elapsedNow() < times.relistInterval) {
            val wait = times.waitFor(age, maxWatchWait, isAfterPause)
            val sentAt = age.read()
            val sent = time.markNow()
            val read = recheck.unlessRequested { changes(prefix, latest, wait) }
            if (read is ReadResult.Unreachable) emit(WatchEvent.Unreachable(read.reason))
            if (read !is ReadResult.Found || read.revision < latest) return@flow
            latest = maxOf(read.revision, read.value.maxOfOrNull { it.version } ?: latest)
            if (read.value.isNotEmpty()) emit(WatchEvent.Changes(read.value, latest))
            val hasWaited = read.value.isEmpty() && sent.elapsedNow() >= wait
            age.recordAnswer(if (hasWaited) sent + wait else sent, sentAt)
            isAfterPause = read.value.isNotEmpty()
            if (isAfterPause) delay(times.pause)
        }
    }
