package sycamore.host

import kotlinx.coroutines.delay
import sycamore.programs.Segments
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.WriteResult
import kotlin.time.Duration.Companion.seconds

/**
 * Deletes segments of a log that hold nothing of living programs, and writes the living records of nearly dead ones
 * again, so that they can be deleted too.
 */
internal class LogCleaner(
    private val log: HomeLog,
    private val keys: KeyValue,
) {
    /** Cleans from time to time until the home has ended or the caller is cancelled. */
    suspend fun run() {
        while (!log.ended.isCompleted) {
            delay(PERIOD)
            log.segments.older
                .filter { it.live.isEmpty() }
                .forEach { delete(it) }
            compact()
        }
    }

    private suspend fun compact() {
        if (log.segments.size <= KEPT_SEGMENTS) return
        val entry = log.segments.older.firstOrNull { it.liveShare < SPARSE } ?: return
        val read = keys.get(Segments.key(log.home, entry.sequence)) as? ReadResult.Found ?: return
        val value = read.value?.value ?: return
        val living = Segments.decode(value).records.filter { it.program in entry.live }
        living.forEach { log.append(it.version, it.epoch, it.record) }
        log.flush()
        delete(entry)
    }

    private suspend fun delete(entry: LiveSegments.Entry) {
        val write = keys.delete(Segments.key(log.home, entry.sequence), entry.version)
        if (write is WriteResult.Applied || write is WriteResult.Conflict) log.segments.remove(entry.sequence)
    }

    private companion object {
        val PERIOD = 10.seconds
        const val KEPT_SEGMENTS = 16
        const val SPARSE = 0.3
    }
}
