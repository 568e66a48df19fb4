package sycamore.retainer

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import sycamore.model.HomeId
import sycamore.turns.LogRecord
import sycamore.turns.RetainerId
import java.nio.ByteBuffer
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
 * The data folder: the retained records, in files that survive a loss of power.
 *
 * Changes that arrive at the same time are written and synced together. A request is answered once the sync is
 * complete.
 */
internal class RecordFolder(
    private val folder: Path,
) {
    private class PendingChange(
        val change: RecordChange,
    ) {
        val result = CompletableDeferred<List<LogRecord>?>()
    }

    private val pending = Channel<PendingChange>(Channel.UNLIMITED)
    private val records = KeptRecords()
    private var sequence = 0L
    private lateinit var file: RecordFile

    /** The id of the folder. A folder that replaces a lost one has a new id. */
    val id: RetainerId = readOrCreateId()

    /** The homes with retained records. */
    @Volatile
    var homesWithRecords: Set<HomeId> = emptySet()
        private set

    init {
        val files = recordFiles()
        files.forEach { path -> RecordFile.read(path).forEach(records::apply) }
        sequence = files.lastOrNull()?.let(::sequenceOf) ?: 0
        log.info {
            "retainer $id has ${records.count} records of ${records.homesWithRecords.size} homes in ${files.size} files"
        }
        rewrite()
    }

    /** The number of retained records. */
    @Volatile
    var count = 0
        private set

    /**
     * Applies [change] and returns once it is durable; a change that only commits records is written, but may still be
     * lost. Returns the retained records of the home for [HomeFenced], and an empty list for other changes. Returns
     * null if the change was refused because its home has ended.
     */
    suspend fun apply(change: RecordChange): List<LogRecord>? {
        val entry = PendingChange(change)
        pending.send(entry)
        return entry.result.await()
    }

    /** Writes changes until cancelled. Blocks its thread during disk writes. */
    suspend fun run() {
        for (first in pending) {
            val batch = arrayListOf(first)
            while (batch.size < MAX_BATCH) batch += pending.tryReceive().getOrNull() ?: break
            write(batch)
        }
    }

    private fun write(batch: List<PendingChange>) {
        val (refused, accepted) = batch.partition { it.change is RecordsKept && records.isFenced(it.change.home) }
        if (accepted.isNotEmpty()) file.append(accepted.map { it.change })
        // Changes that only commit records need no sync. If one is lost, the records are retained for longer than
        // necessary.
        if (accepted.any { it.change !is RecordsKept || it.change.records.isNotEmpty() }) file.sync()
        accepted.forEach { records.apply(it.change) }
        homesWithRecords = records.homesWithRecords
        count = records.count
        refused.forEach { it.result.complete(null) }
        accepted.forEach {
            val retained = if (it.change is HomeFenced) records.recordsOf(it.change.home) else emptyList()
            it.result.complete(retained)
        }
        if (file.size > MAX_FILE_BYTES) rewrite()
    }

    /** Starts a new file with the retained records and deletes the older files. */
    private fun rewrite() {
        val older = recordFiles()
        sequence++
        val next = RecordFile(folder.resolve(PREFIX + sequence.toString().padStart(SEQUENCE_DIGITS, '0')))
        next.append(records.snapshot())
        next.sync()
        syncFolder()
        if (::file.isInitialized) file.close()
        file = next
        older.forEach(Files::delete)
        homesWithRecords = records.homesWithRecords
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
                it.write(ByteBuffer.wrap(id.encodeToByteArray()))
                it.force(true)
            }
        Files.move(draft, path, StandardCopyOption.ATOMIC_MOVE)
        syncFolder()
        return RetainerId(id)
    }

    /** Makes created and deleted files durable, so that they survive a loss of power. */
    private fun syncFolder() = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }

    private companion object {
        const val ID_FILE = "retainer-id"
        const val ID_LENGTH = 16
        const val PREFIX = "records-"
        const val SEQUENCE_DIGITS = 9
        const val MAX_BATCH = 256

        /** The size at which a file is rewritten. Records are retained for seconds only, so little of it is copied. */
        const val MAX_FILE_BYTES = 8L * 1024 * 1024
    }
}
