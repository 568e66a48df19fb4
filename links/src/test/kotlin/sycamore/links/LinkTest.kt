package sycamore.links

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import sycamore.model.CallId
import sycamore.model.Generation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class LinkTest {
    private fun part(number: Int) = Part(CallId("c"), number.toLong(), ByteArray(10))

    private fun numbers(replies: List<Message>) = replies.map { (it as Part).offset.toInt() }

    @Test
    fun `replies come whole, in order and to those who asked`() =
        runTest {
            val net =
                TestNet(this) { _, message ->
                    val start = (message as AskConfiguration).above.value.toInt()
                    flow { repeat(500) { emit(part(start + it)) } }
                }
            val all = (0..4).map { i -> async { net.ask(AskConfiguration(Generation(i * 1000L))).toList() } }
            all.forEachIndexed { i, replies ->
                assertEquals((0..499).map { i * 1000 + it }, numbers(replies.await()))
            }
            assertEquals(1, net.connections.size)
            net.close()
        }

    @Test
    fun `a connection gone silent in either direction is dropped, and the next exchange dials anew`() =
        runTest {
            for (direction in listOf(TestConnection::up, TestConnection::down)) {
                var cancelled = 0
                val net =
                    TestNet(this) { _, message ->
                        if (message == Done) return@TestNet flowOf(Done)
                        flow {
                            try {
                                emit(part(0))
                                awaitCancellation()
                            } finally {
                                cancelled++
                            }
                        }
                    }
                val began = currentTime
                val failure =
                    assertFailsWith<LinkException> {
                        net.ask(AskConfiguration(Generation(1))).collect {
                            direction(net.connections.single()).isSilent =
                                true
                        }
                    }
                assertTrue(failure.sent)
                assertEquals("link to 10.0.0.1:1 was lost: the peer was silent for 6s", failure.message)
                assertTrue(currentTime - began <= 8_000)
                assertEquals(listOf<Message>(Done), net.ask().toList())
                delay(10.seconds)
                assertEquals(1, cancelled)
                net.close()
            }
        }

    @Test
    fun `an idle link that fell silent delays an exchange by seconds only`() =
        runTest {
            val net = TestNet(this) { _, _ -> flowOf(Done) }
            net.ask().toList()
            net.connections
                .single()
                .up.isSilent = true
            delay(14.seconds)
            val began = currentTime
            assertFailsWith<LinkException> { net.ask().toList() }
            assertTrue(currentTime - began <= 7_000)
            assertEquals(listOf<Message>(Done), net.ask().toList())
            net.close()
        }

    @Test
    fun `heartbeats keep a quiet exchange alive for hours`() =
        runTest {
            val net =
                TestNet(this) { _, _ ->
                    flow {
                        delay(2.hours)
                        emit(Done)
                    }
                }
            assertEquals(listOf<Message>(Done), net.ask().toList())
            assertEquals(1, net.connections.size)
            net.close()
        }

    @Test
    fun `a link without use is closed by the side that dialled`() =
        runTest {
            val net = TestNet(this) { _, _ -> flowOf(Done) }
            net.ask().toList()
            assertEquals(1, net.acceptor.connections)
            delay(2.minutes)
            assertEquals(0, net.acceptor.connections)
            net.close()
        }

    @Test
    fun `a slow reader bounds its own sender and delays nobody else`() =
        runTest {
            var made = 0
            val net =
                TestNet(this) { _, message ->
                    if (message == Done) return@TestNet flowOf(Done)
                    flow { repeat(10_000) { emit(part(it)) } }.onEach { made++ }
                }
            val slow = launch { net.ask(AskConfiguration(Generation(1))).collect { delay(1.hours) } }
            delay(10.seconds)
            assertEquals(listOf<Message>(Done), net.ask().toList())
            assertTrue(made <= LinkBounds().window + 1, "$made")
            slow.cancel()
            net.close()
        }

    @Test
    fun `a peer that takes no bytes is dropped`() =
        runTest {
            val big = Part(CallId("c"), 0, ByteArray(4 * 1024 * 1024))
            val net = TestNet(this) { _, _ -> flow { repeat(64) { emit(big) } } }
            val replies =
                async {
                    runCatching {
                        net.ask().collect {
                            net.connections
                                .single()
                                .down.isStuck = true
                        }
                    }
                }
            assertTrue(replies.await().exceptionOrNull() is LinkException)
            delay(15.seconds)
            assertEquals(0, net.acceptor.connections)
            net.close()
        }

    @Test
    fun `what a receiver throws reaches the sender as a failure that may have run`() =
        runTest {
            val net = TestNet(this) { _, _ -> flow { error("broken") } }
            val failure = assertFailsWith<LinkException> { net.ask().toList() }
            assertTrue(failure.sent)
            assertEquals("10.0.0.1:1 failed: IllegalStateException: broken", failure.message)
            net.close()
        }

    @Test
    fun `exchanges above the limit are refused as not run`() =
        runTest {
            val net = TestNet(this, LinkBounds(exchanges = 2)) { _, _ -> flow { awaitCancellation() } }
            repeat(2) { backgroundScope.launch { net.ask().toList() } }
            delay(1.seconds)
            assertFalse(assertFailsWith<LinkException> { net.ask().toList() }.sent)
            net.close()
        }

    @Test
    fun `a message that is too large is refused before it is sent`() =
        runTest {
            val net = TestNet(this, LinkBounds(frameBytes = 10_000)) { _, _ -> flowOf(Done) }
            val large = Part(CallId("c"), 0, ByteArray(10_000))
            assertFalse(assertFailsWith<LinkException> { net.ask(large).toList() }.sent)
            assertEquals(listOf<Message>(Done), net.ask().toList())
            net.close()
        }

    @Test
    fun `a leaving daemon ends what is in progress and takes nothing new`() =
        runTest {
            val net =
                TestNet(this) { _, _ ->
                    flow {
                        emit(part(0))
                        delay(5.seconds)
                        emit(part(1))
                    }
                }
            val running = async { net.ask().toList() }
            delay(1.seconds)
            val leaving = launch { net.acceptor.leave(30.seconds) }
            delay(1.seconds)
            assertFalse(assertFailsWith<LinkException> { net.ask().toList() }.sent)
            assertEquals(listOf(0, 1), numbers(running.await()))
            leaving.join()
            assertEquals(5_000, currentTime / 100 * 100)
            net.close()
        }

    @Test
    fun `a collector that stops early cancels the answer`() =
        runTest {
            var cancelled = false
            val net =
                TestNet(this) { _, _ ->
                    flow {
                        try {
                            emit(part(0))
                            awaitCancellation()
                        } finally {
                            cancelled = true
                        }
                    }
                }
            net.ask().first()
            delay(1.seconds)
            assertTrue(cancelled)
            net.close()
        }
}
