package sycamore.homes

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import sycamore.forwarding.AnswerEvent
import sycamore.forwarding.UpstreamRequest
import sycamore.links.AskRetainer
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.DropHome
import sycamore.links.EndHome
import sycamore.links.Exchange
import sycamore.links.HomeAt
import sycamore.links.KeepRecords
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.RecordsOf
import sycamore.links.RunTurn
import sycamore.links.Serve
import sycamore.links.TurnBroke
import sycamore.links.TurnRefused
import sycamore.links.TurnWhole
import sycamore.links.Unsupported
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.ServiceName
import sycamore.platform.HostSettings
import sycamore.platform.PlatformBounds
import sycamore.platform.SampleDocuments
import sycamore.platform.StoreSettings
import sycamore.routing.AttemptId
import sycamore.routing.ListedUpstream
import sycamore.routing.ProgramName
import sycamore.routing.UpstreamId
import sycamore.services.Item
import sycamore.services.Read
import sycamore.services.Revision
import sycamore.services.Write
import sycamore.standins.FaultyKeyValue
import sycamore.standins.KeyValueStore
import sycamore.turns.LogRecord
import sycamore.turns.Retainer
import sycamore.turns.RetainerId
import sycamore.turns.RetainerKeys
import java.util.TreeMap
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Homes, retainers and a store in one process and in virtual time, with links that can be cut. */
internal class HomeFixture(
    private val test: TestScope,
    private val maxLostDisks: Int = 1,
    private val regions: Map<String, String> = emptyMap(),
) {
    val time = test.testTimeSource
    val keys = FaultyKeyValue(KeyValueStore(time), time)

    /** Prompts that engines got, by turn. */
    val prompts = HashMap<String, String>()

    /** Addresses that cannot be reached: hosts that are cut off, or without power. */
    val cut = HashSet<Address>()

    /** All retainers that were started. */
    val retainers = ArrayList<FakeRetainer>()

    private val daemons = HashMap<Address, Serve>()
    private val scopes = HashMap<Address, CoroutineScope>()

    /** How long an engine works on a turn. */
    var work: Duration = 50.milliseconds

    /** What an engine answers to a turn. */
    var events: List<String> = listOf("one", "two")

    /** What an engine sends without end, instead of the end of its answer; null if it sends the end. */
    var endless: ByteArray? = null

    /** Whether an engine says that it has not run a turn. */
    var isFull = false

    /** Whether an engine says in its answers that it leaves. */
    var isEngineLeaving = false

    val exchange: Exchange = { to, message -> flow { emitAll(deliver(to, message)) } }

    private suspend fun deliver(
        to: Address,
        message: Message,
    ): Flow<Message> {
        delay(1.milliseconds)
        if (to in cut) {
            delay(1.seconds)
            throw LinkException("$to is silent", sent = true)
        }
        val serve = daemons[to] ?: throw LinkException("$to is down", sent = false, isRefused = true)
        return serve(HostName("peer"), message)
    }

    /** Starts the daemon on host [number] of [place]. */
    fun home(
        number: Int,
        place: String = "p1",
    ): HomeDaemon {
        val settings = settings("h$number", place, number)
        val scope =
            CoroutineScope(
                test.backgroundScope.coroutineContext + SupervisorJob(test.backgroundScope.coroutineContext[Job]),
            )
        val daemon = HomeDaemon(settings, keys, exchange, ::engine, SimpleMeterRegistry(), scope.coroutineContext, time)
        daemons[settings.links] = daemon::serve
        scopes[settings.links] = scope
        scope.launch { daemon.run() }
        return daemon
    }

    /** Ends the daemon at [address] as a kill does. */
    fun kill(address: Address) {
        daemons.remove(address)
        scopes.remove(address)?.cancel()
    }

    /** Starts and registers a retainer. */
    suspend fun retainer(
        number: Int,
        place: String = "p$number",
        id: String = "r$number",
    ): FakeRetainer {
        val retainer = Retainer(RetainerId(id), HostName("s$number"), PlaceName(place), Address("10.1.0.$number", PORT))
        val fake = FakeRetainer(retainer)
        daemons[retainer.address] = fake::serve
        retainers += fake
        assertIs<Write.Taken>(keys.put(RetainerKeys.key(retainer.id), RetainerKeys.encode(retainer), Revision.ABSENT))
        return fake
    }

    /** [retainer] takes no more records, and says so in its registration. */
    suspend fun leave(retainer: FakeRetainer) {
        retainer.isLeaving = true
        val key = RetainerKeys.key(retainer.self.id)
        val version = assertIs<Read.Found<Item?>>(keys.get(key)).value!!.version
        assertIs<Write.Taken>(keys.put(key, RetainerKeys.encode(retainer.self.copy(isLeaving = true)), version))
    }

    /** Sends a turn to the home on host [number] and returns all replies. */
    suspend fun turn(
        number: Int,
        name: String,
        previous: String? = null,
        program: String = "p",
        budget: Long? = null,
        previousAt: HomeAt? = null,
    ): List<Message> = exchange(address(number), call(number, name, previous, program, budget, previousAt)).toList()

    fun call(
        number: Int,
        name: String,
        previous: String? = null,
        program: String = "p",
        budget: Long? = null,
        previousAt: HomeAt? = null,
    ) = RunTurn(
        program = ProgramName(program),
        turn = AttemptId(name),
        previous = previous?.let(::AttemptId),
        previousAt = previousAt,
        keepsHistory = true,
        target =
            ListedUpstream(
                UpstreamId("u$number"),
                ServiceName("llm"),
                engine(number),
                PlaceName("p1"),
                isLeaving = false,
                slots = 2,
            ),
        targetHost = address(number),
        engineSlots = 2,
        tokensPerEvent = 10,
        tokenBudget = budget,
        mostTokens = 50,
        promptTokens = 10,
        priority = 0,
        timeLeft = 3.seconds,
        method = "POST",
        path = "/a/b",
        headers = emptyList(),
        input = "in-$name;".encodeToByteArray(),
    )

    private fun engine(request: UpstreamRequest): Flow<AnswerEvent> =
        flow {
            val prompt = request.body.decodeToString()
            val turn = prompt.substringAfterLast("in-").removeSuffix(";")
            prompts[turn] = prompt
            val full = if (isFull) listOf(SampleDocuments.notRunHeader) else emptyList()
            val leaving = if (isEngineLeaving) listOf(SampleDocuments.leavingHeader) else emptyList()
            emit(
                AnswerEvent.Head(
                    if (isFull) FULL else OK,
                    listOf("X-Request-Id" to turn, "X-Server-Stamp" to "s") + full + leaving,
                ),
            )
            for ((id, data) in events.withIndex()) {
                delay(work / events.size)
                emit(AnswerEvent.Bytes("id: $id\ndata: $data\n\n".encodeToByteArray()))
            }
            while (true) {
                emit(AnswerEvent.Bytes(endless ?: break))
                delay(1.milliseconds)
            }
            emit(AnswerEvent.End(isFramed = true))
        }

    private fun settings(
        name: String,
        place: String,
        number: Int,
    ) = HostSettings(
        name = HostName(name),
        place = Place(PlaceName(place), RegionName(regions[place] ?: place)),
        places = regions.entries.associate { PlaceName(it.key) to RegionName(it.value) }.toImmutableMap(),
        ip = address(number).ip,
        firstPort = PORT,
        lastPort = PORT,
        callers = null,
        readinessAddress = null,
        upstream = engine(number),
        dataDirectory = null,
        maxLostDisks = maxLostDisks,
        bounds = PlatformBounds(2.5.seconds, 8.seconds, 2.5.seconds, 1.seconds),
        store = StoreSettings(Address("10.9.0.1", 1), 400.0, 2000.0, 1 shl 20),
        memoryMib = 256,
        contracts = persistentListOf(),
    )

    companion object {
        private const val PORT = 7000
        private const val OK = 200
        private const val FULL = 503

        fun address(number: Int) = Address("10.0.0.$number", PORT)

        private fun engine(number: Int) = Address("10.0.0.$number", 8000)

        /** The last reply of a turn. */
        fun List<Message>.outcome(): String =
            when (val last = last()) {
                is TurnWhole -> "whole"
                is TurnBroke -> "broke"
                is TurnRefused -> last.reason.name
                else -> "none"
            }
    }
}

/** A retainer that keeps records in memory. */
internal class FakeRetainer(
    val self: Retainer,
) {
    private val kept = HashMap<HomeId, TreeMap<Long, LogRecord>>()
    private val ended = HashSet<HomeId>()

    /** Whether it takes no more records. */
    var isLeaving = false

    /** How many messages with records came. */
    var messages = 0
        private set

    /** Records that are kept now. */
    val count: Int get() = kept.values.sumOf { it.size }

    fun serve(
        @Suppress("UNUSED_PARAMETER") from: HostName,
        message: Message,
    ): Flow<Message> =
        flowOf(
            when (message) {
                is AskRetainer -> if (message.retainer == self.id) Done else Declined("another folder")
                is KeepRecords -> keep(message)
                is EndHome -> {
                    ended += message.home
                    RecordsOf(message.home, kept[message.home]?.values?.toList().orEmpty())
                }
                is DropHome -> Done.also { kept.remove(message.home) }
                else -> Unsupported
            },
        )

    private fun keep(message: KeepRecords): Message {
        if (message.retainer != self.id) return Declined("another folder")
        if (message.home in ended) return Declined("the home has ended")
        if (isLeaving && message.records.isNotEmpty()) return Declined("the host is leaving")
        if (message.records.isNotEmpty()) messages++
        val records = kept.getOrPut(message.home) { TreeMap() }
        message.records.forEach { records[it.number] = it }
        records.headMap(message.committed, true).clear()
        return Done
    }
}
