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

/**
 * Guards against links that lose or mix up replies, miss a lost peer, close while a long exchange waits, buffer without
 * bound for a slow receiver, or report a message wrongly as not sent. Runs both ends in virtual time.
 */
class LinkTest {
    private fun part(number: Int) = Part(CallId("c"), number.toLong(), ByteArray(10))

    private fun numbers(replies: List<Message>) = replies.map { (it as Part).offset.toInt() }

    @Test
    fun `concurrent exchanges each get all their replies in order`() =
        runTest {
            val net =
                TestNet(this) { _, message ->
                    val start = (message as GetConfiguration).above.value.toInt()
                    flow { repeat(500) { emit(part(start + it)) } }
                }
            val all = (0..4).map { i -> async { net.ask(GetConfiguration(Generation(i * 1000L))).toList() } }
            all.forEachIndexed { i, replies ->
                assertEquals((0..499).map { i * 1000 + it }, numbers(replies.await()))
            }
            assertEquals(1, net.connections.size)
            net.close()
        }

    @Test
    fun `a connection that loses all bytes in either direction is closed, and the next exchange dials a new one`() =
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
                val startedAt = currentTime
                val failure =
                    assertFailsWith<LinkException> {
                        net.ask(GetConfiguration(Generation(1))).collect {
                            direction(net.connections.single()).losesBytes = true
                        }
                    }
                assertTrue(failure.sent)
                assertEquals("link to 10.0.0.1:1 was lost: the peer sent nothing for 6s", failure.message)
                assertTrue(currentTime - startedAt <= 8_000)
                assertEquals(listOf<Message>(Done), net.ask().toList())
                delay(10.seconds)
                assertEquals(1, cancelled)
                net.close()
            }
        }

    @Test
    fun `an exchange on an idle link whose peer was lost fails within seconds`() =
        runTest {
            val net = TestNet(this) { _, _ -> flowOf(Done) }
            net.ask().toList()
            net.connections
                .single()
                .up.losesBytes = true
            delay(14.seconds)
            val startedAt = currentTime
            assertFailsWith<LinkException> { net.ask().toList() }
            assertTrue(currentTime - startedAt <= 7_000)
            assertEquals(listOf<Message>(Done), net.ask().toList())
            net.close()
        }

    @Test
    fun `heartbeats keep an exchange without replies open for hours`() =
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
    fun `the dialling end closes an unused link`() =
        runTest {
            val net = TestNet(this) { _, _ -> flowOf(Done) }
            net.ask().toList()
            assertEquals(1, net.acceptor.connections)
            delay(2.minutes)
            assertEquals(0, net.acceptor.connections)
            net.close()
        }

    @Test
    fun `a slow receiver holds up its own sender and no other exchange`() =
        runTest {
            var produced = 0
            val net =
                TestNet(this) { _, message ->
                    if (message == Done) return@TestNet flowOf(Done)
                    flow { repeat(10_000) { emit(part(it)) } }.onEach { produced++ }
                }
            val slow = launch { net.ask(GetConfiguration(Generation(1))).collect { delay(1.hours) } }
            delay(10.seconds)
            assertEquals(listOf<Message>(Done), net.ask().toList())
            assertTrue(produced <= LinkBounds().window + 1, "$produced")
            slow.cancel()
            net.close()
        }

    @Test
    fun `a connection to a peer that accepts no bytes is closed`() =
        runTest {
            val large = Part(CallId("c"), 0, ByteArray(4 * 1024 * 1024))
            val net = TestNet(this) { _, _ -> flow { repeat(64) { emit(large) } } }
            val replies =
                async {
                    runCatching {
                        net.ask().collect {
                            net.connections
                                .single()
                                .down.isBlocked = true
                        }
                    }
                }
            assertTrue(replies.await().exceptionOrNull() is LinkException)
            delay(15.seconds)
            assertEquals(0, net.acceptor.connections)
            net.close()
        }

    @Test
    fun `an exception of the message handler reaches the sender as a failure that may have run`() =
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
            val net = TestNet(this, LinkBounds(maxExchanges = 2)) { _, _ -> flow { awaitCancellation() } }
            repeat(2) { backgroundScope.launch { net.ask().toList() } }
            delay(1.seconds)
            assertFalse(assertFailsWith<LinkException> { net.ask().toList() }.sent)
            net.close()
        }

    @Test
    fun `a message that is too large is refused before it is sent`() =
        runTest {
            val net = TestNet(this, LinkBounds(maxFrameBytes = 10_000)) { _, _ -> flowOf(Done) }
            val large = Part(CallId("c"), 0, ByteArray(10_000))
            assertFalse(assertFailsWith<LinkException> { net.ask(large).toList() }.sent)
            assertEquals(listOf<Message>(Done), net.ask().toList())
            net.close()
        }

    @Test
    fun `a leaving daemon completes the exchanges in progress and rejects new ones`() =
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
    fun `a collector that stops early cancels the handler`() =
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
