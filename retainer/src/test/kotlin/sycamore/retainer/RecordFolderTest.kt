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

class RecordFolderTest {
    private val path: Path = Files.createTempDirectory("records")
    private val home = HomeId.parse("p1.h1.0123456789ab")!!

    @AfterTest
    fun delete() {
        path.toFile().deleteRecursively()
    }

    @Test
    fun `records outlive the process`() =
        runTest {
            open { it.keep(0, 1, 2, 3) }
            open { assertEquals(listOf(1L, 2L, 3L), it.numbers()) }
        }

    @Test
    fun `records that are committed are dropped, also after a restart`() =
        runTest {
            open {
                it.keep(0, 1, 2, 3)
                it.keep(2)
                assertEquals(listOf(3L), it.numbers())
            }
            open { assertEquals(listOf(3L), it.numbers()) }
        }

    @Test
    fun `a home that has ended keeps what it had and gets no more`() =
        runTest {
            open {
                it.keep(0, 1)
                assertEquals(listOf(1L), it.numbers())
                assertNull(it.apply(RecordsKept(home, 0, listOf(record(2)))))
            }
            open { assertNull(it.apply(RecordsKept(home, 0, listOf(record(3))))) }
        }

    @Test
    fun `a file whose end was torn off by a loss of power holds what was synced before`() =
        runTest {
            open {
                it.keep(0, 1)
                it.keep(0, 2)
            }
            recordFile().let { it.writeBytes(it.readBytes().dropLast(1).toByteArray()) }
            open { assertEquals(listOf(1L), it.numbers()) }
        }

    @Test
    fun `bytes that no record has written harm nothing`() =
        runTest {
            open { it.keep(0, 1) }
            Files.write(recordFile(), ByteArray(100) { -1 }, StandardOpenOption.APPEND)
            open { assertEquals(listOf(1L), it.numbers()) }
        }

    @Test
    fun `a folder that was lost comes back under another name`() =
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

    /** Ends the home, which tells its records. */
    private suspend fun RecordFolder.numbers(): List<Long> = apply(HomeFenced(home))!!.map { it.number }

    private fun record(number: Long) = LogRecord(number, "record $number".encodeToByteArray())

    private fun recordFile(): Path = path.listDirectoryEntries("records-*").maxBy { it.name }
}
