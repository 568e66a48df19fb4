package sycamore.forwarding

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The phases of a planned stop of a process that serves callers:
 *
 * 1. Until [callersLeave], the platform may still send callers here. All requests are served.
 * 2. Until [finalAnswers], requests in progress go on. Others are served only if their time limit ends in this phase.
 * 3. Until the process ends, all requests that are still open get their final answers.
 *
 * Without a planned stop, nothing is limited.
 *
 * @param timeout returns the time from the beginning of the stop to the end of the process.
 */
class PlannedStop(
    private val timeout: () -> Duration,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Phases(
        val callersLeave: ComparableTimeMark,
        val finalAnswers: ComparableTimeMark,
    )

    @Volatile
    private var phases: Phases? = null
    private val finalAnswersDue = Job()

    /** Whether the stop has begun. */
    val isBegun: Boolean get() = phases != null

    /** The time left until open requests get their final answers. */
    val timeLeft: Duration get() = phases?.let { -it.finalAnswers.elapsedNow() } ?: Duration.INFINITE

    /** Whether a request that has to be answered within [timeLimit] may be passed on. */
    fun admits(timeLimit: Duration): Boolean =
        phases?.let { it.callersLeave.hasNotPassedNow() || timeLimit <= timeLeft } ?: true

    /** Begins the stop and runs [steps]. */
    suspend fun run(steps: suspend () -> Unit) =
        coroutineScope {
            phases = newPhases()
            val timer =
                launch {
                    delay(timeLeft)
                    finalAnswersDue.complete()
                }
            steps()
            timer.cancel()
        }

    /** Suspends until the platform sends no new callers. */
    suspend fun awaitCallersLeave() {
        phases?.let { delay(-it.callersLeave.elapsedNow()) }
    }

    /** Runs [serve] and returns its result, or cancels it and returns null when final answers are due. */
    suspend fun <T : Any> untilFinalAnswers(serve: suspend () -> T): T? =
        coroutineScope {
            val work = async { serve() }
            val onDue = finalAnswersDue.invokeOnCompletion { work.cancel() }
            try {
                work.await()
            } catch (e: CancellationException) {
                ensureActive()
                if (finalAnswersDue.isCompleted) null else throw e
            } finally {
                onDue.dispose()
            }
        }

    private fun newPhases(): Phases {
        val now = time.markNow()
        val total = timeout()
        val callersLeave = minOf(ROTATION_EXIT_DELAY, total / 2)
        val reserve = minOf(FINAL_ANSWERS_RESERVE, total / FINAL_ANSWERS_SHARE)
        return Phases(now + callersLeave, now + (total - reserve))
    }

    companion object {
        /**
         * The time until the platform sends no new callers. It checks the readiness once a second, and takes a process out of
         * rotation after two checks in a row that did not succeed.
         */
        private val ROTATION_EXIT_DELAY = 2.5.seconds

        /** The time in which final answers are written and connections are closed. */
        private val FINAL_ANSWERS_RESERVE = 500.milliseconds

        /** In a short stop, final answers get one part in this many of its time. */
        private const val FINAL_ANSWERS_SHARE = 10
    }
}
