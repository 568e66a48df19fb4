package sycamore.retainer

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import sycamore.model.HomeId
import sycamore.turns.LogRecord
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull

/**
 * Guards against a retainer that loses records it has acknowledged, or accepts records of an ended home. Both happen
 * around restarts and losses of power, when files end in an incomplete change.
 */
class RecordFolderTest {
    private val path: Path = Files.createTempDirectory("records")
    private val home = HomeId.parse("p1.h1.0123456789ab")!!

    @AfterTest
    fun delete() {
        path.toFile().deleteRecursively()
    }

    @Test
    fun `records survive a restart of the process`() =
        runTest {
            open { it.keep(0, 1, 2, 3) }
            open { assertEquals(listOf(1L, 2L, 3L), it.endHome()) }
        }

    @Test
    fun `committed records are dropped, also after a restart`() =
        runTest {
            open {
                it.keep(0, 1, 2, 3)
                it.keep(2)
                assertEquals(listOf(3L), it.endHome())
            }
            open { assertEquals(listOf(3L), it.endHome()) }
        }

    @Test
    fun `a home that has ended keeps its records and accepts no more`() =
        runTest {
            open {
                it.keep(0, 1)
                assertEquals(listOf(1L), it.endHome())
                assertNull(it.apply(RecordsKept(home, 0, listOf(record(2)))))
            }
            open { assertNull(it.apply(RecordsKept(home, 0, listOf(record(3))))) }
        }

    @Test
    fun `a file truncated by a loss of power holds the records that were synced before`() =
        runTest {
            open {
                it.keep(0, 1)
                it.keep(0, 2)
            }
            recordFile().let { it.writeBytes(it.readBytes().dropLast(1).toByteArray()) }
            open { assertEquals(listOf(1L), it.endHome()) }
        }

    @Test
    fun `bytes at the end of a file that are not a record are ignored`() =
        runTest {
            open { it.keep(0, 1) }
            Files.write(recordFile(), ByteArray(100) { -1 }, StandardOpenOption.APPEND)
            open { assertEquals(listOf(1L), it.endHome()) }
        }

    @Test
    fun `a folder that replaces a lost one has a new id`() =
        runTest {
            var first = ""
            open { first = it.id.toString() }
            open { assertEquals(first, it.id.toString()) }
            path.toFile().deleteRecursively()
            Files.createDirectories(path)
            open { assertNotEquals(first, it.id.toString()) }
        }

    private suspend fun TestScope.open(use: suspend (RecordFolder) -> Unit) {
        val folder = RecordFolder(path)
        val work = launch { folder.run() }
        use(folder)
        work.cancel()
    }

    private suspend fun RecordFolder.keep(
        committed: Long,
        vararg numbers: Long,
    ) {
        assertEquals(emptyList(), apply(RecordsKept(home, committed, numbers.map(::record))))
    }

    /** Ends the home, which returns the numbers of its records. */
    private suspend fun RecordFolder.endHome(): List<Long> = apply(HomeFenced(home))!!.map { it.number }

    private fun record(number: Long) = LogRecord(number, "record $number".encodeToByteArray())

    private fun recordFile(): Path = path.listDirectoryEntries("records-*").maxBy { it.name }
}
