package sycamore.entry

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.flow.Flow
import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Whole
import sycamore.model.Address
import sycamore.model.Caller
import sycamore.model.CallerName
import sycamore.model.Configuration
import sycamore.model.Contract
import sycamore.model.Digest
import sycamore.model.Generation
import sycamore.model.HomeId
import sycamore.model.Host
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ModelName
import sycamore.model.PlaceName
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import sycamore.model.Upstream
import sycamore.programs.Answer
import sycamore.programs.Usage
import sycamore.services.ListedHost
import sycamore.standins.KeyValueStore
import kotlin.time.Clock
import kotlin.time.Instant

/** An entry in front of one host, whose daemon answers each message with the replies of [answer]. */
internal class EntryFixture(
    private val answer: (Message) -> Flow<Message>,
) {
    /** The messages that were sent to the host. */
    val sent = ArrayList<Message>()

    /** The entry's metrics. */
    val meters = SimpleMeterRegistry()

    private val inForce = InForce().also { it.offer(configuration) }
    private val members = Members().apply { update(listOf(ListedHost(host, place, Address("127.0.0.1", 1)))) }
    private val daemon =
        entryDaemon(Host(HostName("e1"), place, Address("127.0.0.1", 2), Incarnation("e"))) {
            inForce = this@EntryFixture.inForce
            members = this@EntryFixture.members
            keys = KeyValueStore()
            exchange = { _, message ->
                sent += message
                answer(message)
            }
        }

    /** The callers' interface. */
    val http =
        EntryHttp(
            inForce,
            daemon,
            AccountLimits(entries = 1),
            bodyBytes = 1_000,
            EntryMeters(meters),
            FixedClock,
        ).handler

    companion object {
        private val place = PlaceName("svea-a")
        private val host = HostName("h1")
        private val upstream =
            Upstream(host, place, Address("127.0.0.1", 3), capacity = 1, models = listOf(ModelName("wheel-7b")))

        /** A program whose home is on the host. */
        val program = ProgramId(HomeId(place, host, Incarnation("ab12")), 7)

        /** One model service and one plain service, whose contracts allow only `GET /slots` to be repeated. */
        val configuration =
            Configuration(
                generation = Generation(3),
                publishId = "p",
                places = emptyList(),
                links = emptyList(),
                callers =
                    listOf(
                        Caller(
                            CallerName("workshop"),
                            "salt",
                            Digest.sha256("saltkey".encodeToByteArray()),
                            concurrency = 2,
                        ),
                    ),
                services =
                    listOf(
                        Service(ServiceName("assist-llm"), ServiceKind.MODEL, listOf(upstream)),
                        Service(
                            name = ServiceName("order-app"),
                            kind = ServiceKind.SERVICE,
                            upstreams = listOf(upstream),
                            contracts = listOf(Contract("GET", "/slots", idempotent = true)),
                        ),
                    ),
            )

        /** A request with a valid key. */
        fun request(
            method: Method,
            path: String,
            body: String = "",
        ): Request = Request(method, path).header("Authorization", "Bearer key").body(body)

        /** A chat completion with one message and with the further fields in [more]. */
        fun chat(more: String = ""): Request {
            val body = """{"model":"wheel-7b","messages":[{"role":"user","content":"hi"}]$more}"""
            return request(Method.POST, "/v1/chat/completions", body)
        }

        /** The first reply to [call]. */
        fun begun(
            call: Call,
            status: Int = 200,
        ) = Begun(call.id, program, 1, status, "text/plain")

        /** [text] at [offset] of the answer to [call]. */
        fun part(
            call: Call,
            offset: Long,
            text: String,
        ) = Part(call.id, offset, text.encodeToByteArray())

        /** The last reply to [call], of [length] bytes. */
        fun whole(
            call: Call,
            length: Long,
            toolCalls: String? = null,
            status: Int = 200,
        ): Whole {
            val answer = Answer(status, "text/plain", ByteArray(0), toolCalls, "stop", Usage(10, 2, 4))
            return Whole(call.id, length, answer)
        }
    }

    private object FixedClock : Clock {
        override fun now() = Instant.fromEpochSeconds(1_700_000_000)
    }
}
