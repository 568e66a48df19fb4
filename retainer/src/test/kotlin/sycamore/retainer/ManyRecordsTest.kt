package sycamore.retainer

import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.links.EndHome
import sycamore.links.EndedHomeRecords
import sycamore.links.LinkBounds
import sycamore.links.Message
import sycamore.links.SomeHomeRecords
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import sycamore.standins.KeyValueStore
import sycamore.turns.LogRecord
import java.nio.file.Files
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against LOST: no home could take over a home of which the retainers kept more records than fit into a frame. */
class ManyRecordsTest {
    private val path = Files.createTempDirectory("records")
    private val home = HomeId(PlaceName("p"), HostName("h"), Incarnation("i"))

    @AfterTest
    fun deleteFolder() {
        path.toFile().deleteRecursively()
    }

    @Test
    fun `all records of a home are sent to its successor, in messages that fit into frames`() =
        runTest {
            val folder = RecordFolder(path)
            val daemon = RetainerDaemon(retainerSettings(path), folder, KeyValueStore(testTimeSource))
            backgroundScope.launch { folder.run() }
            val bounds = LinkBounds()
            val records = List(RECORDS) { LogRecord(it + 1L, Random(it).nextBytes(bounds.maxFrameBytes / RECORDS * 2)) }
            records.chunked(2).forEach { folder.apply(RecordsKept(home, 0, it)) }
            val replies = daemon.serve(HostName("peer"), EndHome(folder.id, home)).toList()
            assertIs<EndedHomeRecords>(replies.last())
            val sent = replies.map(::recordsOf)
            assertTrue(sent.all { group -> group.sumOf { it.bytes.size } < bounds.maxFrameBytes / 2 })
            assertEquals(records, sent.flatten())
        }

    private fun recordsOf(reply: Message): List<LogRecord> =
        when (reply) {
            is SomeHomeRecords -> reply.records
            is EndedHomeRecords -> reply.records
            else -> emptyList()
        }

    private companion object {
        const val RECORDS = 40
    }
}
