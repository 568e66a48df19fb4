package sycamore.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.daemon.audit.AuditAction
import sycamore.daemon.audit.AuditReader
import sycamore.daemon.audit.AuditRecord
import sycamore.daemon.audit.AuditRetention
import sycamore.daemon.audit.AuditTrail
import sycamore.model.Generation
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Guards against audit records that are lost, duplicated or reordered when the key-value service is down or loses
 * answers, and against records that are deleted before the end of their retention period.
 */
class AuditTrailTest {
    private val start = Instant.parse("2026-12-04T03:59:00Z")

    private fun TestScope.clock(): Clock =
        object : Clock {
            override fun now(): Instant = start + currentTime.milliseconds
        }

    private suspend fun TestScope.records(keys: KeyValue): List<AuditRecord> =
        (AuditReader(keys, clock()).since(start) as ReadResult.Found).value

    @Test
    fun `records made during an outage are written once and in order after it, even if answers are lost`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val keys = FaultyKeyValue(store, testTimeSource)
            val trail = AuditTrail(keys, "h1", clock())
            backgroundScope.launch { trail.run() }
            keys.setFaults { it.copy(down = true) }
            repeat(20) {
                trail.record(AuditAction.TAKEOVER, "n$it", Generation(1))
                delay(10.minutes)
            }
            assertEquals(20, trail.pending)
            keys.setFaults { it.copy(down = false, lostAnswers = 5) }
            assertTrue(trail.flush(1.minutes))
            assertEquals((0..19).map { "n$it" }, records(store).map { it.subject })
        }

    @Test
    fun `records that a peer has stored as well are written once`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val trail = AuditTrail(store, "h1", clock())
            val peer = AuditTrail(store, "h2", clock())
            repeat(3) { trail.record(AuditAction.DRAIN, "n$it", Generation(1)) }
            peer.enqueue(trail.pendingRecords())
            peer.enqueue(trail.pendingRecords())
            assertTrue(trail.writeAll(1.seconds) && peer.writeAll(1.seconds))
            assertEquals(listOf("n0", "n1", "n2"), records(store).map { it.subject })
        }

    @Test
    fun `a follower receives each record once, across full hours and outages`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val keys = FaultyKeyValue(store, testTimeSource)
            val trail = AuditTrail(store, "h1", clock())
            backgroundScope.launch { trail.run() }
            val received = ArrayList<String>()
            backgroundScope.launch { AuditReader(keys, clock()).follow(start).collect { received += it.subject } }
            repeat(10) {
                trail.record(AuditAction.ORDER, "n$it", Generation(1))
                delay(30.seconds)
                keys.setFaults { faults -> faults.copy(down = it % 2 == 0) }
            }
            delay(30.seconds)
            assertEquals((0..9).map { "n$it" }, received)
        }

    @Test
    fun `records are deleted after the retention period and not before`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val trail = AuditTrail(store, "h1", clock())
            backgroundScope.launch { trail.run() }
            repeat(48) {
                trail.record(AuditAction.ORDER, "n$it", Generation(1))
                delay(1.hours)
            }
            val retention = AuditRetention(store, clock(), keep = 1.days)
            retention.prune()
            val kept = records(store).map { it.subject }
            assertEquals((24..47).map { "n$it" }, kept.takeLast(24))
            assertTrue(kept.size in 24..25, "$kept")
        }
}
