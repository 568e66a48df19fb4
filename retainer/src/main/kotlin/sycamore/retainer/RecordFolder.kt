package sycamore.retainer

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import sycamore.model.HomeId
import sycamore.turns.LogRecord
import sycamore.turns.RetainerId
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.uuid.Uuid

private val log = KotlinLogging.logger {}

/**
 * The data folder: the records that are kept, in files that outlive a loss of power.
 *
 * Changes that come together are written and synced together. Whoever asked is answered once the sync is done.
 */
internal class RecordFolder(
    private val folder: Path,
) {
    private class Waiting(
        val change: RecordChange,
    ) {
        val done = CompletableDeferred<List<LogRecord>?>()
    }

    private val waiting = Channel<Waiting>(Channel.UNLIMITED)
    private val records = KeptRecords()
    private var sequence = 0L
    private lateinit var file: RecordFile

    /** Names the folder; a folder that was lost comes back under another name. */
    val id: RetainerId = readOrCreateId()

    /** Homes that records are kept of. */
    @Volatile
    var kept: Set<HomeId> = emptySet()
        private set

    init {
        val files = recordFiles()
        files.forEach { path -> RecordFile.read(path).forEach(records::apply) }
        sequence = files.lastOrNull()?.let(::sequenceOf) ?: 0
        log.info {
            "retainer $id keeps ${records.count} records of ${records.kept.size} homes from ${files.size} files"
        }
        rewrite()
    }

    /** Records that are kept. */
    @Volatile
    var count = 0
        private set

    /** Applies [change] and returns what is kept of its home then; null if the home has ended and it is not kept. */
    suspend fun apply(change: RecordChange): List<LogRecord>? {
        val entry = Waiting(change)
        waiting.send(entry)
        return entry.done.await()
    }

    /** Writes changes until cancelled. Blocks its thread while the disk works. */
    suspend fun run() {
        for (first in waiting) {
            val batch = arrayListOf(first)
            while (batch.size < MAX_BATCH) batch += waiting.tryReceive().getOrNull() ?: break
            write(batch)
        }
    }

    private fun write(batch: List<Waiting>) {
        val (refused, taken) = batch.partition { it.change is RecordsKept && records.isFenced(it.change.home) }
        if (taken.isNotEmpty()) file.append(taken.map { it.change })
        // That records are committed may be lost: they are then kept for longer.
        if (taken.any { it.change !is RecordsKept || it.change.records.isNotEmpty() }) file.sync()
        taken.forEach { records.apply(it.change) }
        kept = records.kept
        count = records.count
        refused.forEach { it.done.complete(null) }
        taken.forEach { it.done.complete(if (it.change is HomeFenced) records.of(it.change.home) else emptyList()) }
        if (file.size > MAX_FILE_BYTES) rewrite()
    }

    /** Begins a new file with what is kept, and deletes the older ones. */
    private fun rewrite() {
        val older = recordFiles()
        sequence++
        val next = RecordFile(folder.resolve(PREFIX + sequence.toString().padStart(SEQUENCE_DIGITS, '0')))
        next.append(records.changes())
        next.sync()
        syncFolder()
        if (::file.isInitialized) file.close()
        file = next
        older.forEach(Files::delete)
        kept = records.kept
    }

    private fun recordFiles(): List<Path> = folder.listDirectoryEntries("$PREFIX*").sortedBy { it.name }

    private fun sequenceOf(path: Path): Long = path.name.removePrefix(PREFIX).toLong()

    private fun readOrCreateId(): RetainerId {
        Files.createDirectories(folder)
        val path = folder.resolve(ID_FILE)
        if (path.exists()) {
            val text = path.readText()
            if (text.length == ID_LENGTH) return RetainerId(text)
        }
        recordFiles().forEach(Files::delete)
        val id = Uuid.random().toHexString().take(ID_LENGTH)
        val draft = folder.resolve("$ID_FILE.new")
        FileChannel
            .open(draft, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)
            .use {
                it.write(java.nio.ByteBuffer.wrap(id.encodeToByteArray()))
                it.force(true)
            }
        Files.move(draft, path, StandardCopyOption.ATOMIC_MOVE)
        syncFolder()
        return RetainerId(id)
    }

    /** Makes new and removed names outlive a loss of power. */
    private fun syncFolder() = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }

    private companion object {
        const val ID_FILE = "retainer-id"
        const val ID_LENGTH = 16
        const val PREFIX = "records-"
        const val SEQUENCE_DIGITS = 9
        const val MAX_BATCH = 256

        /** A file is rewritten at this size. Records live for seconds, so that little of it is copied. */
        const val MAX_FILE_BYTES = 8L * 1024 * 1024
    }
}
