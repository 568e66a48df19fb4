package sycamore.standins

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.model.Address
import sycamore.platform.StoreKeyValue
import sycamore.services.Item
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Guards against a client that reports a wrong outcome of a call: when an answer is damaged or lost, or when the
 * connection is refused.
 */
class StoreKeyValueTest {
    private val address = Address("127.0.0.1", 1)
    private val value = byteArrayOf(1, 2)

    private fun client(http: HttpHandler) = StoreKeyValue(address, http, Dispatchers.IO)

    private fun setFaults(
        server: KeyValueServer,
        faults: String,
    ) = assertEquals(Status.OK, server.handler(Request(Method.PUT, KeyValueServer.FAULTS_PATH).body(faults)).status)

    @Test
    fun `items are transferred unchanged in both directions`(): Unit =
        runBlocking {
            val keys = client(KeyValueServer(KeyValueStore()).handler)
            assertEquals(WriteResult.Applied(Revision(1)), keys.put("a/b c", value, Revision.ABSENT))
            val item = Item("a/b c", value, Revision(1))
            assertEquals(ReadResult.Found(item, Revision(1)), keys.get("a/b c"))
            assertEquals(WriteResult.Conflict(item), keys.put("a/b c", value, Revision.ABSENT))
            assertEquals(WriteResult.Applied(Revision(2)), keys.delete("a/b c", Revision(1)))
            val deleted = Item("a/b c", null, Revision(2))
            assertEquals(ReadResult.Found(listOf(deleted), Revision(2)), keys.changes("a/", Revision(1), Duration.ZERO))
        }

    @Test
    fun `empty values are written in one call and replace existing ones`(): Unit =
        runBlocking {
            val store = KeyValueStore()
            val keys = client(KeyValueServer(store).handler)
            assertEquals(WriteResult.Applied(Revision(1)), keys.putEmpty(listOf("m/a"), 10.minutes))
            assertEquals(WriteResult.Applied(Revision(3)), keys.putEmpty(listOf("m/a", "m/b"), 10.minutes))
            val found = assertIs<ReadResult.Found<List<Item>>>(store.list("m/"))
            assertEquals(listOf("m/a" to 0, "m/b" to 0), found.value.map { it.key to it.value?.size })
        }

    @Test
    fun `faults that are set over HTTP affect the client`(): Unit =
        runBlocking {
            val server = KeyValueServer(KeyValueStore())
            val keys = client(server.handler)
            setFaults(server, """{"lostAnswers":1}""")
            assertIs<WriteResult.OutcomeUnknown>(keys.put("k", value, Revision.ABSENT))
            assertIs<WriteResult.Conflict>(keys.put("k", value, Revision.ABSENT))
            setFaults(server, """{"down":true}""")
            assertIs<ReadResult.Unreachable>(keys.get("k"))
            setFaults(server, """{"callsPerSecond":0.001}""")
            assertIs<ReadResult.Found<Item?>>(keys.get("k"))
            assertIs<WriteResult.NotSent>(keys.put("k", value, Revision(1)))
        }

    @Test
    fun `an answer that cannot be decoded counts as no answer`(): Unit =
        runBlocking {
            val damaged = listOf("", "{", "[]")
            for (body in damaged + """{"key":"k","value":"%","revision":1}""") {
                val keys = client { Response(Status.OK).body(body) }
                assertEquals(ReadResult.Unreachable("the answer could not be decoded"), keys.get("k"))
            }
            for (body in damaged + """{"revision":"new"}""") {
                val keys = client { Response(Status.OK).body(body) }
                assertEquals(
                    WriteResult.OutcomeUnknown("the answer could not be decoded"),
                    keys.delete("k", Revision(1)),
                )
            }
        }

    @Test
    fun `a write over a refused connection is reported as not sent`(): Unit =
        runBlocking {
            val keys = client { Response(Status.CONNECTION_REFUSED) }
            assertEquals(WriteResult.NotSent("no connection to $address"), keys.put("k", value, Revision.ABSENT))
        }
}
