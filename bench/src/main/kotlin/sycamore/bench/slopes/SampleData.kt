package sycamore.bench.slopes

import kotlinx.serialization.cbor.Cbor
import sycamore.links.Message
import sycamore.links.Part
import sycamore.model.Address
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.Caller
import sycamore.model.CallerName
import sycamore.model.Configuration
import sycamore.model.Digest
import sycamore.model.Epoch
import sycamore.model.Generation
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ModelName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.ProgramId
import sycamore.model.RegionName
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import sycamore.model.Upstream
import sycamore.programs.Answer
import sycamore.programs.BudgetReserved
import sycamore.programs.BudgetSettled
import sycamore.programs.CallAccepted
import sycamore.programs.CallAnswered
import sycamore.programs.CallIntended
import sycamore.programs.ChatMessage
import sycamore.programs.NumberedRecord
import sycamore.programs.ProgramStarted
import sycamore.programs.Record
import sycamore.programs.Usage
import sycamore.services.ListedHost
import kotlin.random.Random
import kotlin.time.Instant

/** Builds programs, members and configurations of any size from the system's own types. */
internal object SampleData {
    private const val SEED = 7
    private const val VOCABULARY = 5_000
    private const val SALT_LENGTH = 16
    private const val TOKENS = 1_000L
    private val service = ServiceName("assist-llm")
    private val createdAt = Instant.fromEpochSeconds(0)
    private val words: List<String> =
        Random(SEED).let { random -> List(VOCABULARY) { "w" + random.nextInt(VOCABULARY * VOCABULARY).toString(36) } }

    val home = HomeId(PlaceName("svea-a"), HostName("m0"), Incarnation("0123456789ab"))

    fun host(number: Int) = ListedHost(HostName("host-$number"), PlaceName("place-${number % 12}"), address(number))

    private fun address(number: Int): Address {
        val random = Random(number)
        return Address("10.${random.nextInt(256)}.${random.nextInt(256)}.${random.nextInt(256)}", 7_400)
    }

    /** Encodes messages in the format of the links. */
    val cbor =
        Cbor {
            alwaysUseByteString = true
            encodeDefaults = false
            preferCborLabelsOverNames = true
        }

    /** Builds messages that carry one token each, for [count] calls. */
    fun parts(count: Int): List<Message> = List(count) { Part(callId(it), it.toLong(), "word ".encodeToByteArray()) }

    /** Draws words from a vocabulary, about [bytes] bytes in all. */
    fun randomText(
        bytes: Int,
        seed: Int,
    ): String =
        buildString {
            val random = Random(seed)
            while (length < bytes) append(words[random.nextInt(VOCABULARY)]).append(' ')
        }

    fun callId(number: Int): CallId = CallId(Digest.sha256(number.toString().encodeToByteArray()).hex)

    /** Builds the records of program [number] with [turns] turns, whose requests and answers have [messageBytes] each. */
    fun programRecords(
        number: Int,
        turns: Int,
        messageBytes: Int,
    ): List<Record> {
        val id = ProgramId(home, number.toLong())
        val started = ProgramStarted(id, CallerName("workshop"), service, null, id, Budget(), createdAt)
        return listOf(started) + (1..turns).flatMap { turn(id, it, messageBytes) }
    }

    private fun turn(
        id: ProgramId,
        turn: Int,
        messageBytes: Int,
    ): List<Record> {
        val seed = id.number.toInt() * 1_000 + turn
        val call = callId(seed)
        val request = listOf(ChatMessage("user", randomText(messageBytes, seed)))
        val body = randomText(messageBytes, -seed).encodeToByteArray()
        val answer = Answer(200, "text/plain", body, finishReason = "stop", usage = Usage(TOKENS, TOKENS))
        return listOf(
            CallAccepted(id, call, turn, Digest.sha256(body), request, idempotent = true, createdAt),
            BudgetReserved(id, call, TOKENS),
            CallIntended(id, call, service, home.host, home.incarnation.value),
            CallAnswered(id, call, answer),
            BudgetSettled(id, call, TOKENS),
        )
    }

    /** Numbers [records] as in the log of a home. */
    fun numberRecords(records: List<Record>): List<NumberedRecord> =
        records.mapIndexed { i, record -> NumberedRecord(i.toLong(), i.toLong(), Epoch.FIRST, record) }

    fun caller(number: Int) =
        Caller(
            CallerName("caller-$number"),
            callId(number).value.take(SALT_LENGTH),
            Digest.sha256("$number".encodeToByteArray()),
        )

    /** Builds a configuration of [upstreams] model engines and [callers] accounts. */
    fun configuration(
        upstreams: Int,
        callers: Int,
    ) = Configuration(
        Generation(1),
        "publish",
        List(12) { Place(PlaceName("place-$it"), RegionName("region-${it % 5}")) },
        emptyList(),
        List(callers, ::caller),
        listOf(Service(service, ServiceKind.MODEL, List(upstreams, ::upstream))),
    )

    private fun upstream(number: Int) =
        Upstream(
            host(number).name,
            host(number).place,
            host(number).address,
            capacity = 64,
            models = listOf(ModelName("wheel-7b")),
            memory = 64L shl 30,
        )
}
