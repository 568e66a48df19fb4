package sycamore.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.services.Revision
import sycamore.services.WatchEvent
import sycamore.services.follow
import sycamore.standins.KeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against a daemon that serves on although it no longer follows the store. */
class FollowTest {
    private fun WatchEvent.keys() =
        when (this) {
            is WatchEvent.Snapshot -> items.map { it.key }
            is WatchEvent.Changes -> items.map { it.key }
            is WatchEvent.Unreachable -> emptyList()
        }

    @Test
    fun `changes are followed after a receiver has failed`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            val failures = ArrayList<Exception>()
            val seen = LinkedHashSet<String>()
            backgroundScope.launch {
                store.follow("p/", failures::add) {
                    val isNew = seen.addAll(it.keys())
                    check(!isNew || "p/bad" !in it.keys()) { "a value that the receiver does not expect" }
                }
            }
            for (key in listOf("p/a", "p/bad", "p/c")) {
                delay(5.seconds)
                store.put(key, ByteArray(0), Revision.ABSENT)
            }
            delay(30.seconds)
            assertEquals(setOf("p/a", "p/bad", "p/c"), seen)
            assertEquals(1, failures.size)
        }

    @Test
    fun `a receiver that always fails is called with pauses`() =
        runTest {
            val store = KeyValueStore(testTimeSource)
            var calls = 0
            backgroundScope.launch {
                store.follow("p/", {}) {
                    calls++
                    error("this receiver fails")
                }
            }
            delay(1.minutes)
            assertTrue(calls in 2..130, "$calls calls in a minute")
        }
}
