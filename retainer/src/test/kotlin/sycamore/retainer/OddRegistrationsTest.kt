package sycamore.retainer

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.model.HomeId
import sycamore.platform.Retirements
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.standins.KeyValueStore
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys
import sycamore.turns.RetainerKeys
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

/** Guards against a retainer that ends at its start because another program has written among the registrations. */
class OddRegistrationsTest {
    private val path: Path = Files.createTempDirectory("records")
    private val home = HomeId.parse("p1.h1.0123456789ab")!!

    @AfterTest
    fun delete() {
        path.toFile().deleteRecursively()
    }

    private val settings = retainerSettings(path)

    @Test
    fun `a retainer registers and is emptied beside registrations that cannot be decoded`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            for ((index, value) in listOf("", "17", "{}", "[".repeat(100_000)).withIndex()) {
                store.put(RetainerKeys.PREFIX + "odd$index", value.encodeToByteArray(), Revision.ABSENT)
                store.put(HomeKeys.PREFIX + "odd$index", value.encodeToByteArray(), Revision.ABSENT)
            }
            val merged = HomeEntry(home, settings.links, home, settings.links, isMerged = true)
            store.put(HomeKeys.key(home), HomeKeys.encode(merged), Revision.ABSENT)
            val folder = RecordFolder(path)
            val daemon = RetainerDaemon(settings, folder, store)
            backgroundScope.launch { folder.run() }
            folder.apply(RecordsKept(home, 0, emptyList()))
            daemon.register()
            assertNotNull((store.get(RetainerKeys.key(folder.id)) as ReadResult.Found).value)
            backgroundScope.launch { daemon.followRetirements() }
            store.put(Retirements.orderKey(settings.name), "{}".encodeToByteArray(), Revision.ABSENT)
            delay(5.seconds)
            val status = (store.get(Retirements.statusKey(settings.name)) as ReadResult.Found).value?.value
            assertEquals(Retirements.encodeStatus(isDone = true).decodeToString(), status?.decodeToString())
        }
}
