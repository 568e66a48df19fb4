package sycamore.host

import kotlinx.coroutines.delay
import sycamore.programs.Segments
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.WriteResult
import kotlin.time.Duration.Companion.seconds

/**
 * Deletes the segments of a log that hold no live records. Segments with few live records are compacted: their live
 * records are appended to the log again, so that these segments can be deleted too.
 */
internal class LogCleaner(
    private val log: HomeLog,
    private val keys: KeyValue,
) {
    /** Cleans the log periodically until the home has ended or the caller is cancelled. */
    suspend fun run() {
        while (!log.ended.isCompleted) {
            delay(CLEANING_PERIOD)
            log.segments.older
                .filter { it.liveBytes.isEmpty() }
                .forEach { delete(it) }
            compact()
        }
    }

    private suspend fun compact() {
        if (log.segments.size <= COMPACTION_THRESHOLD_SEGMENTS) return
        val entry = log.segments.older.firstOrNull { it.liveShare < MAX_LIVE_SHARE } ?: return
        val read = keys.get(Segments.key(log.home, entry.sequence)) as? ReadResult.Found ?: return
        val value = read.value?.value ?: return
        val live = Segments.decode(value).records.filter { it.program in entry.liveBytes }
        live.forEach { log.append(it.version, it.epoch, it.record) }
        log.flush()
        delete(entry)
    }

    private suspend fun delete(entry: LiveSegments.Entry) {
        val write = keys.delete(Segments.key(log.home, entry.sequence), entry.version)
        if (write is WriteResult.Applied || write is WriteResult.Conflict) log.segments.remove(entry.sequence)
    }

    private companion object {
        val CLEANING_PERIOD = 10.seconds

        /** The number of segments above which segments are compacted. */
        const val COMPACTION_THRESHOLD_SEGMENTS = 16

        /** Only segments with a smaller share of live records are compacted. */
        const val MAX_LIVE_SHARE = 0.3
    }
}
