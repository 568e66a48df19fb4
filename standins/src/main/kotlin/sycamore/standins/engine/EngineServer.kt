package sycamore.standins.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import sycamore.model.ModelName
import sycamore.services.EngineOrder
import sycamore.services.EngineWire
import sycamore.services.ExportedCache
import kotlin.time.TimeSource
import kotlin.uuid.Uuid

/** How a stand-in answers at all. */
enum class EngineHealth { UP, DOWN, HUNG }

/** A model engine behind HTTP, working in real time. */
class EngineServer(
    spec: EngineSpec = EngineSpec(),
    faults: EngineFaults = EngineFaults(),
    store: WeightStore = WeightStore(),
    time: TimeSource = TimeSource.Monotonic,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val runner = EngineRunner(Engine(spec, faults, store), time)
    private val engine get() = runner.engine
    private val kept = KeptCalls { runner.engine.forget(it) }

    /** Whether the engine answers. `PUT /health` with one of the names changes it. */
    @Volatile
    var health = EngineHealth.UP

    init {
        scope.launch { runner.run() }
    }

    /** The HTTP interface, see [EngineWire]. */
    val handler: HttpHandler =
        routes(
            "/health" bind Method.PUT to ::changeHealth,
            EngineWire.CHAT bind Method.POST to guarded(::complete),
            "${EngineWire.CALLS}/{id}" bind Method.GET to guarded(::resume),
            "${EngineWire.CALLS}/{id}" bind Method.DELETE to guarded(::cancel),
            EngineWire.CACHE bind Method.GET to guarded { json(EngineWire.json.encodeToString(engine.listing())) },
            "${EngineWire.CACHE}/{program}" bind Method.GET to guarded(::export),
            "${EngineWire.CACHE}/{program}" bind Method.PUT to guarded(::import),
            "${EngineWire.CACHE}/{program}" bind Method.DELETE to guarded(::evict),
            EngineWire.EVENTS bind Method.GET to guarded(::events),
            EngineWire.LOAD bind Method.GET to
                guarded { json(EngineWire.json.encodeToString(engine.reportedLoad(runner.now))) },
            EngineWire.ORDERS bind Method.POST to guarded(::order),
            EngineWire.MODELS bind Method.GET to
                guarded { json(ChatEvents.models(engine.models(runner.now).map { it.value })) },
        )

    private fun changeHealth(request: Request): Response {
        health = EngineHealth.valueOf(request.bodyString().trim().uppercase())
        return Response(Status.OK)
    }

    private fun guarded(handler: HttpHandler): HttpHandler =
        { request ->
            when (health) {
                EngineHealth.UP -> handler(request)
                EngineHealth.DOWN -> Response(Status.SERVICE_UNAVAILABLE)
                EngineHealth.HUNG -> hang()
            }
        }

    private fun hang(): Response =
        runBlocking {
            while (health == EngineHealth.HUNG) kotlinx.coroutines.delay(HUNG_POLL_MILLIS)
            Response(Status.SERVICE_UNAVAILABLE)
        }

    private fun complete(request: Request): Response {
        val prompt = ChatPrompt.parse(request.body.stream.readBytes()) ?: return bad("not a chat completion")
        val call =
            EngineCall(
                id = request.header(EngineWire.CALL_HEADER) ?: Uuid.random().toHexString(),
                program = request.header(EngineWire.PROGRAM_HEADER).orEmpty(),
                model = prompt.model?.let(::ModelName),
                prompt = prompt.spans,
                answer = prompt.answer,
            )
        val running = runner.submit(call)
        kept.add(call.id, prompt, running)
        return answer(running, prompt, offset = 0)
    }

    private fun answer(
        running: RunningCall,
        prompt: ChatPrompt,
        offset: Int,
    ): Response {
        val end = if (running.end.isCompleted) running.end.getCompleted() else null
        if (end is CallEnd.Impossible) return bad(end.reason)
        if (end is CallEnd.Cancelled) return Response(Status.GONE)
        if (!prompt.isStream) {
            runBlocking { running.end.await() }
            return json(ChatEvents(prompt).whole(running))
        }
        return Response(Status.OK)
            .header("content-type", "text/event-stream")
            .body(TokenStream(runner, running, prompt, offset))
    }

    private fun resume(request: Request): Response {
        val (prompt, running) = kept.find(request.path("id")!!) ?: return Response(Status.NOT_FOUND)
        return answer(running, prompt, request.query("offset")?.toIntOrNull() ?: 0)
    }

    private fun cancel(request: Request): Response =
        Response(if (runner.cancel(request.path("id")!!)) Status.NO_CONTENT else Status.NOT_FOUND)

    private fun export(request: Request): Response =
        json(EngineWire.json.encodeToString(engine.export(request.path("program")!!)))

    private fun import(request: Request): Response {
        engine.import(EngineWire.json.decodeFromString<ExportedCache>(request.bodyString()), runner.now)
        return Response(Status.NO_CONTENT)
    }

    private fun evict(request: Request): Response = json("${engine.evict(request.path("program")!!, runner.now)}")

    private fun events(request: Request): Response {
        val after = request.query("after")?.toLongOrNull() ?: 0
        return json(EngineWire.json.encodeToString(engine.eventsAfter(after, runner.now)))
    }

    private fun order(request: Request): Response {
        val order = EngineWire.json.decodeFromString<EngineOrder>(request.bodyString())
        return when (val answer = engine.order(order, runner.now)) {
            is OrderAnswer.Accepted -> Response(Status.ACCEPTED)
            is OrderAnswer.Stale ->
                Response(Status.CONFLICT).body(ChatEvents.error("fencing number ${answer.highest} was seen"))
        }
    }

    private fun bad(reason: String) = Response(Status.BAD_REQUEST).body(ChatEvents.error(reason))

    private fun json(text: String) = Response(Status.OK).header("content-type", "application/json").body(text)

    override fun close() = scope.cancel()

    private companion object {
        const val HUNG_POLL_MILLIS = 50L
    }
}

/** Calls that can be resumed: those in progress and a bounded number of the last ones. [drop] is told what goes. */
internal class KeptCalls(
    private val drop: (RunningCall) -> Unit,
) {
    private val calls = LinkedHashMap<String, Pair<ChatPrompt, RunningCall>>()

    @Synchronized
    fun add(
        id: String,
        prompt: ChatPrompt,
        running: RunningCall,
    ) {
        calls[id] = prompt to running
        if (calls.size <= MAX_CALLS) return
        val oldest = calls.entries.firstOrNull { it.value.second.end.isCompleted } ?: return
        calls -= oldest.key
        drop(oldest.value.second)
    }

    @Synchronized
    fun find(id: String): Pair<ChatPrompt, RunningCall>? = calls[id]

    private companion object {
        const val MAX_CALLS = 2_000
    }
}
