package sycamore.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import kotlin.time.Duration
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** A key that nobody writes. */
private const val UNUSED_KEY = "sycamore/none"

/**
 * Detects that open connections to the store have fallen silent while new ones work, and closes them, so that the watches which
 * wait on them start again.
 *
 * It keeps one watch of its own in progress, which the store has to answer after [wait]. If there is no answer but a read on a new
 * connection is answered, the other connections may be silent as well. A store that is slow or down leaves them open.
 *
 * @param answerTimeout the time that an answer may be late.
 * @param store a client that closes its idle connections when a call is cancelled.
 */
internal class SilenceDetector(
    private val wait: Duration,
    private val answerTimeout: Duration,
    private val store: KeyValue,
    private val time: TimeSource = TimeSource.Monotonic,
    private val closeConnections: () -> Unit,
) {
    /** Checks the connections until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            var revision = readRevision()
            while (revision != null) {
                val began = time.markNow()
                revision = watchFrom(revision)
                // A store that answers at once is not asked more often.
                delay(wait - began.elapsedNow())
            }
            delay(wait)
        }
    }

    /** The revision of the store after a watch from [revision]; null if the watch failed. */
    private suspend fun watchFrom(revision: Revision): Revision? {
        val read = withTimeoutOrNull(wait + answerTimeout) { store.changes(UNUSED_KEY, revision, wait) }
        if (read != null) return (read as? ReadResult.Found)?.revision
        val current = readRevision() ?: return null
        log.warn { "open connections to the store were silent and are closed" }
        closeConnections()
        return current
    }

    private suspend fun readRevision(): Revision? =
        (withTimeoutOrNull(answerTimeout) { store.get(UNUSED_KEY) } as? ReadResult.Found)?.revision
}
