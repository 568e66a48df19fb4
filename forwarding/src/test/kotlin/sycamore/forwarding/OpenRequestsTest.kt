package sycamore.forwarding

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against closing a connection on which a request is still being served when the server drains. */
class OpenRequestsTest {
    private val requests = OpenRequests<String>()

    @Test
    fun `connections with a request stay open`() {
        requests.begin("a")
        assertEquals(listOf("b"), closeIdle(listOf("a", "b")))
    }

    @Test
    fun `a connection is idle once its last request has ended`() {
        requests.begin("a")
        requests.end("a")
        assertEquals(listOf("a"), closeIdle(listOf("a")))
    }

    /**
     * The end of a request is recorded slightly after its response was sent, when the next request may already have
     * arrived.
     */
    @Test
    fun `a request keeps its connection open when the end of the previous one is recorded late`() {
        requests.begin("a")
        requests.begin("a")
        requests.end("a")
        assertEquals(emptyList(), closeIdle(listOf("a")))
    }

    /**
     * Without this, a request that arrived while its idle connection was closed in a planned stop was run and its
     * response lost.
     */
    @Test
    fun `a request that arrives while its idle connection is closed is not served`() {
        assertEquals(listOf("a"), closeIdle(listOf("a")))
        assertFalse(requests.begin("a"))
        assertTrue(requests.begin("b"))
    }

    /**
     * Guards against an error response to such a request, which its caller took for the answer: the request was found too late
     * before its connection was closed.
     */
    @Test
    fun `a request that arrives while its idle connection is closed is recognised only after that`() {
        val began = CompletableFuture<Boolean>()
        requests.closeIdle(listOf("a")) {
            thread { began.complete(requests.begin("a")) }
            assertFailsWith<TimeoutException> { began.get(WAIT_MILLIS, TimeUnit.MILLISECONDS) }
        }
        assertFalse(began.get())
    }

    private fun closeIdle(connections: List<String>): List<String> =
        buildList { requests.closeIdle(connections) { add(it) } }

    private companion object {
        const val WAIT_MILLIS = 50L
    }
}
