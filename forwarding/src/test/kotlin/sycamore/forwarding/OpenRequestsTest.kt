package sycamore.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against closing a connection on which a request is still being served when the server drains. */
class OpenRequestsTest {
    private val requests = OpenRequests<String>()

    @Test
    fun `connections with a request stay open`() {
        requests.begin("a")
        assertEquals(listOf("b"), requests.closeIdle(listOf("a", "b")))
    }

    @Test
    fun `a connection is idle once its last request has ended`() {
        requests.begin("a")
        requests.end("a")
        assertEquals(listOf("a"), requests.closeIdle(listOf("a")))
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
        assertEquals(emptyList(), requests.closeIdle(listOf("a")))
    }

    /**
     * Without this, a request that arrived while its idle connection was closed in a planned stop was run and its
     * response lost.
     */
    @Test
    fun `a request that arrives while its idle connection is closed is not served`() {
        assertEquals(listOf("a"), requests.closeIdle(listOf("a")))
        assertFalse(requests.begin("a"))
        assertTrue(requests.begin("b"))
    }
}
