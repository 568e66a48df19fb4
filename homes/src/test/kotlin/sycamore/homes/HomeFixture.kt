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
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import sycamore.forwarding.ResponseEvent
import sycamore.forwarding.UpstreamRequest
import sycamore.links.CheckRetainer
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.DropHomeRecords
import sycamore.links.EndHome
import sycamore.links.EndedHomeRecords
import sycamore.links.Exchange
import sycamore.links.HomeEndpoint
import sycamore.links.KeepRecords
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.MessageHandler
import sycamore.links.RunTurn
import sycamore.links.SomeHomeRecords
import sycamore.links.TurnComplete
import sycamore.links.TurnInterrupted
import sycamore.links.TurnRefused
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
import sycamore.platform.StoreKeys
import sycamore.platform.StoreSettings
import sycamore.routing.AttemptId
import sycamore.routing.ListedUpstream
import sycamore.routing.ProgramName
import sycamore.routing.UpstreamId
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
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

/**
 * Home daemons, retainers, engines and a key-value service in one process and in virtual time. Addresses can be made
 * unreachable.
 *
 * @param maxLostDisks the number of disks whose loss at once must not lose a record.
 * @param regions the region of each place. A place that is not in it is a region of its own.
 * @param drainTime the time after its registration as leaving for which an engine may still get turns.
 */
internal class HomeFixture(
    private val test: TestScope,
    private val maxLostDisks: Int = 1,
    private val regions: Map<String, String> = emptyMap(),
    private val drainTime: Duration = 2.5.seconds,
) {
    val time = test.testTimeSource
    val keys = FaultyKeyValue(KeyValueStore(time), time)

    /** The prompts that engines have received, by turn. */
    val prompts = HashMap<String, String>()

    /** Addresses whose daemons do not respond to messages: requests to them fail after a second. */
    val unreachable = HashSet<Address>()

    /** All retainers that have been started. */
    val retainers = ArrayList<FakeRetainer>()

    private val daemons = HashMap<Address, MessageHandler>()
    private val scopes = HashMap<Address, CoroutineScope>()

    /** The time in which an engine answers a turn. */
    var answerTime: Duration = 50.milliseconds

    /** The data of the events in an engine's answer. */
    var events: List<String> = listOf("one", "two")

    /**
     * A chunk that an engine repeats forever after its events, so that its answer never ends; null for a regular
     * answer.
     */
    var endlessChunk: ByteArray? = null

    /** Bytes that an engine sends after its events, before it ends its answer. */
    var lastChunk: ByteArray = ByteArray(0)

    /** Answers in place of the engines; null for regular answers. */
    var answer: ((request: UpstreamRequest) -> Flow<ResponseEvent>)? = null

    /** Whether engines refuse turns without running them. */
    var isFull = false

    /** Whether engines announce in their answers that they are leaving. */
    var isEngineLeaving = false

    /** Exchanges messages as links do: the peer does not wait until a reply is handled. */
    val exchange: Exchange = { to, message -> flow { emitAll(deliver(to, message)) }.buffer() }

    private suspend fun deliver(
        to: Address,
        message: Message,
    ): Flow<Message> {
        delay(1.milliseconds)
        if (to in unreachable) {
            delay(1.seconds)
            throw LinkException("$to does not respond", sent = true)
        }
        val serve = daemons[to] ?: throw LinkException("$to is down", sent = false, isRefused = true)
        return serve(HostName("peer"), message)
    }

    /** Starts the home daemon of host [number] in [place]. */
    fun startHome(
        number: Int,
        place: String = "p1",
        keys: KeyValue = this.keys,
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

    /** Ends the daemon at [address] without a planned stop, as when its process is killed. */
    fun kill(address: Address) {
        daemons.remove(address)
        scopes.remove(address)?.cancel()
    }

    /** Starts and registers a retainer. */
    suspend fun startRetainer(
        number: Int,
        place: String = "p$number",
        id: String = "r$number",
    ): FakeRetainer {
        val retainer = Retainer(RetainerId(id), HostName("s$number"), PlaceName(place), Address("10.1.0.$number", PORT))
        val fake = FakeRetainer(retainer)
        daemons[retainer.address] = fake::serve
        retainers += fake
        assertIs<WriteResult.Applied>(
            keys.put(RetainerKeys.key(retainer.id), RetainerKeys.encode(retainer), Revision.ABSENT),
        )
        return fake
    }

    /** Makes [retainer] refuse further records, and marks its registration as leaving. */
    suspend fun markLeaving(retainer: FakeRetainer) {
        retainer.isLeaving = true
        val key = RetainerKeys.key(retainer.self.id)
        val version = assertIs<ReadResult.Found<Item?>>(keys.get(key)).value!!.version
        assertIs<WriteResult.Applied>(keys.put(key, RetainerKeys.encode(retainer.self.copy(isLeaving = true)), version))
    }

    /** Writes the registration of the engine of host [number] with [state]. */
    suspend fun registerEngine(
        number: Int,
        state: String,
    ) {
        val entry = SampleDocuments.upstreamEntry("llm", engine(number), "p1", state)
        assertIs<WriteResult.Applied>(keys.put(StoreKeys.UPSTREAMS + "u$number", entry, Revision.ABSENT))
    }

    /** Sends a turn to the home on host [number] and returns all replies. */
    suspend fun sendTurn(
        number: Int,
        name: String,
        previous: String? = null,
        program: String = "p",
        budget: Long? = null,
        previousAt: HomeEndpoint? = null,
    ): List<Message> =
        exchange(address(number), runTurnMessage(number, name, previous, program, budget, previousAt)).toList()

    /** Returns the message that runs turn [name] by the engine of host [number]. */
    fun runTurnMessage(
        number: Int,
        name: String,
        previous: String? = null,
        program: String = "p",
        budget: Long? = null,
        previousAt: HomeEndpoint? = null,
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

    private fun engine(request: UpstreamRequest): Flow<ResponseEvent> =
        flow {
            val prompt = request.body.decodeToString()
            val turn = prompt.substringAfterLast("in-").removeSuffix(";")
            prompts[turn] = prompt
            answer?.let { return@flow emitAll(it(request)) }
            val full = if (isFull) listOf(SampleDocuments.notRunHeader) else emptyList()
            val leaving = if (isEngineLeaving) listOf(SampleDocuments.leavingHeader) else emptyList()
            emit(
                ResponseEvent.Head(
                    if (isFull) FULL else OK,
                    listOf("X-Request-Id" to turn, "X-Server-Stamp" to "s") + full + leaving,
                ),
            )
            for ((id, data) in events.withIndex()) {
                delay(answerTime / events.size)
                emit(ResponseEvent.Bytes("id: $id\ndata: $data\n\n".encodeToByteArray()))
            }
            while (true) {
                emit(ResponseEvent.Bytes(endlessChunk ?: break))
                delay(1.milliseconds)
            }
            if (lastChunk.isNotEmpty()) emit(ResponseEvent.Bytes(lastChunk))
            emit(ResponseEvent.End)
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
        bounds = PlatformBounds(drainTime, 8.seconds, 2.5.seconds, 4.seconds, 1.seconds),
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

        /** Returns a name for the last of the replies to a turn. */
        fun List<Message>.outcome(): String =
            when (val last = last()) {
                is TurnComplete -> "whole"
                is TurnInterrupted -> "broke"
                is TurnRefused -> last.reason.name
                else -> "none"
            }
    }
}

/**
 * A retainer that keeps records in memory.
 *
 * @property self the registration of this retainer.
 */
internal class FakeRetainer(
    val self: Retainer,
) {
    private val kept = HashMap<HomeId, TreeMap<Long, LogRecord>>()
    private val ended = HashSet<HomeId>()

    /** Whether the retainer refuses further records. */
    var isLeaving = false

    /** The number of messages with records that the retainer has accepted. */
    var messages = 0
        private set

    /** The number of records that the retainer keeps at present. */
    val count: Int get() = kept.values.sumOf { it.size }

    fun serve(
        @Suppress("UNUSED_PARAMETER") from: HostName,
        message: Message,
    ): Flow<Message> =
        if (message is EndHome) {
            ended += message.home
            val records = kept[message.home]?.values.orEmpty()
            val some = records.map { SomeHomeRecords(message.home, listOf(it)) }
            (some + EndedHomeRecords(message.home, emptyList())).asFlow()
        } else {
            flowOf(reply(message))
        }

    private fun reply(message: Message): Message =
        when (message) {
            is CheckRetainer -> if (message.retainer == self.id) Done else Declined("another folder")
            is KeepRecords -> keep(message)
            is DropHomeRecords -> Done.also { kept.remove(message.home) }
            else -> Unsupported
        }

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
