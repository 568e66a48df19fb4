package sycamore.entry

import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.model.Caller
import sycamore.model.CallerName
import sycamore.model.Digest
import sycamore.model.Generation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against accepting a key of another account, or a cached key that a later configuration has replaced. */
class AccountsTest {
    private val accounts = Accounts()
    private val first = EntryFixture.configuration

    private fun caller(
        name: String,
        key: String,
    ) = Caller(CallerName(name), name, Digest.sha256("$name$key".encodeToByteArray()))

    private fun request(authorization: String) = Request(Method.GET, "/").header("Authorization", authorization)

    @Test
    fun `a key identifies its account`() {
        val configuration = first.copy(callers = listOf(caller("a", "1"), caller("b", "2")))
        repeat(2) { assertEquals("b", accounts.find(request("Bearer 2"), configuration)?.name?.value) }
        assertEquals("a", accounts.find(request("bearer 1"), configuration)?.name?.value)
        listOf("Bearer 3", "Basic 1", "Bearer ", "1").forEach { assertNull(accounts.find(request(it), configuration)) }
    }

    @Test
    fun `a key that was replaced is no longer accepted`() {
        val before = first.copy(callers = listOf(caller("a", "1")))
        val after = first.copy(generation = Generation(4), callers = listOf(caller("a", "2")))
        assertEquals("a", accounts.find(request("Bearer 1"), before)?.name?.value)
        assertNull(accounts.find(request("Bearer 1"), after))
        assertEquals("a", accounts.find(request("Bearer 2"), after)?.name?.value)
    }
}
