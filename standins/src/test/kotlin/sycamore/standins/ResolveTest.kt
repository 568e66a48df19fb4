package sycamore.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.services.Authorship
import sycamore.services.FindAuthor
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.services.putAndConfirm
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a write that is applied twice or reported with the wrong outcome, after its answer was lost or
 * the key-value service was down.
 */
class ResolveTest {
    private val ours = "w1".encodeToByteArray()
    private val author: FindAuthor = { if (it.contentEquals(ours)) Authorship.OURS else Authorship.UNCERTAIN }

    private suspend fun KeyValue.text(): String? = (get("k") as ReadResult.Found).value?.value?.decodeToString()

    @Test
    fun `a write whose answer was lost is recognized as applied and not repeated`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val keys = FaultyKeyValue(store, testTimeSource)
            keys.setFaults { it.copy(lostAnswers = 1) }
            assertEquals(WriteResult.Applied(Revision(1)), keys.putAndConfirm("k", ours, Revision.ABSENT, author))
        }

    @Test
    fun `a write that never arrived is sent again when the service is available again`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val keys = FaultyKeyValue(store, testTimeSource)
            keys.setFaults { it.copy(down = true) }
            launch {
                delay(5.seconds)
                keys.setFaults { it.copy(down = false) }
            }
            assertEquals(WriteResult.Applied(Revision(1)), keys.putAndConfirm("k", ours, Revision.ABSENT, author))
            assertEquals("w1", store.text())
        }

    @Test
    fun `the outcome of an overwritten write is unknown unless the new value shows that it was not applied`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val keys = FaultyKeyValue(store, testTimeSource)
            keys.setFaults { it.copy(lostAnswers = 1) }
            launch { store.put("k", "w2".encodeToByteArray(), Revision(1)) }
            assertIs<WriteResult.OutcomeUnknown>(keys.putAndConfirm("k", ours, Revision.ABSENT, author))
            keys.setFaults { it.copy(lostAnswers = 1) }
            val foreign = keys.putAndConfirm("k", ours, Revision(1), { Authorship.FOREIGN })
            assertIs<WriteResult.Conflict>(foreign)
            assertEquals("w2", store.text())
        }

    @Test
    fun `an outage longer than the time limit leaves the outcome of a write unknown`() =
        runTest {
            val keys = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            keys.setFaults { it.copy(down = true) }
            assertIs<WriteResult.OutcomeUnknown>(keys.putAndConfirm("k", ours, Revision.ABSENT, author))
        }
}
