package sycamore.standins

import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.services.CallKind
import sycamore.services.CallOutcome
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.services.keyValueClient
import sycamore.services.retryRead
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against calls that block on a hanging key-value service, and against writes of unknown outcome that are
 * reported as failed.
 */
class KeyValueClientTest {
    @Test
    fun `a call to a hanging service times out, and the outcome of a write is unknown`() =
        runTest {
            val keys = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            val client = keyValueClient(keys) { time = testTimeSource }
            keys.setFaults { it.copy(delay = 1.hours) }
            assertEquals(ReadResult.Unreachable("no answer within 2s"), client.get("k"))
            assertEquals(
                WriteResult.OutcomeUnknown("no answer within 2s"),
                client.put("k", byteArrayOf(1), Revision.ABSENT),
            )
            assertEquals(4_000, currentTime)
            assertEquals(1, client.counts.count(CallKind.PUT, CallOutcome.NO_ANSWER))
        }

    @Test
    fun `calls above the client's rate limit wait before they are sent`() =
        runTest {
            val client =
                keyValueClient(KeyValueStore(testTimeSource)) {
                    callsPerSecond = 2.0
                    burst = 1
                    maxWait = 1.seconds
                    time = testTimeSource
                }
            assertIs<ReadResult.Found<*>>(client.get("k"))
            assertIs<ReadResult.Found<*>>(client.get("k"))
            assertEquals(500, currentTime)
            val writes = (1..2).map { client.put("k$it", byteArrayOf(1), Revision.ABSENT) }
            assertEquals(2, writes.filterIsInstance<WriteResult.Applied>().size)
            assertEquals(2, client.counts.count(CallKind.PUT))
        }

    @Test
    fun `a write above the service's rate limit is reported as not sent`() =
        runTest {
            val keys = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            keys.setFaults { it.copy(callsPerSecond = 1.0) }
            assertIs<WriteResult.Applied>(keys.put("k", byteArrayOf(1), Revision.ABSENT))
            assertIs<WriteResult.NotSent>(keys.put("k", byteArrayOf(2), Revision(1)))
        }

    @Test
    fun `a read is retried until it is answered or its time is up`() =
        runTest {
            val keys = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            keys.setFaults { it.copy(down = true) }
            assertIs<ReadResult.Unreachable>(retryRead(5.seconds) { keys.get("k") })
            assertEquals(5_000, currentTime)
            keys.setFaults { it.copy(down = false, delay = 10.milliseconds) }
            assertIs<ReadResult.Found<*>>(retryRead(Duration.INFINITE) { keys.get("k") })
        }

    /** Guards against CONFIG: a watch that waits on a silent connection for as long as its caller would wait for a change. */
    @Test
    fun `a watch is answered or fails after the limit of the client, however long it may wait`() =
        runTest {
            val keys = FaultyKeyValue(KeyValueStore(testTimeSource), testTimeSource)
            val client =
                keyValueClient(keys) {
                    time = testTimeSource
                    maxWatchWait = 3.seconds
                    maxWatchDelay = 1.seconds
                }
            assertIs<ReadResult.Found<*>>(client.changes("k", Revision.ABSENT, 30.seconds))
            assertEquals(3_000, currentTime)
            keys.setFaults { it.copy(delay = 1.hours) }
            assertIs<ReadResult.Unreachable>(client.changes("k", Revision.ABSENT, 30.seconds))
            assertEquals(7_000, currentTime)
        }
}
