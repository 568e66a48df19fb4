package sycamore.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

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

    /** The end of a request is noted a little after its answer, when the next request may have come. */
    @Test
    fun `a next request keeps its connection open when the former one ends late`() {
        requests.begin("a")
        requests.begin("a")
        requests.end("a")
        assertEquals(emptyList(), requests.closeIdle(listOf("a")))
    }

    /** A coating batch was passed on while its idle connection was closed in a planned stop (LOST on norrby-falg trouble-1). */
    @Test
    fun `a request that comes as its idle connection is closed is not served`() {
        assertEquals(listOf("a"), requests.closeIdle(listOf("a")))
        assertFalse(requests.begin("a"))
        assertTrue(requests.begin("b"))
    }
}
