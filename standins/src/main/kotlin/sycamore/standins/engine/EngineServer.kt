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

/** How a simulated engine treats requests: it serves them, refuses them, or leaves them unanswered. */
enum class EngineHealth { UP, DOWN, HUNG }

/** Serves a simulated model [Engine] over HTTP, in real time unless [time] is another clock. */
class EngineServer(
    spec: EngineSpec = EngineSpec(),
    faults: EngineFaults = EngineFaults(),
    store: WeightStore = WeightStore(),
    time: TimeSource = TimeSource.Monotonic,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val runner = EngineRunner(Engine(spec, faults, store), time)
    private val engine get() = runner.engine
    private val resumableCalls = ResumableCalls { runner.engine.discard(it) }

    /** How requests are treated. `PUT /health` with the name of a value, in any case, changes it. */
    @Volatile
    var health = EngineHealth.UP

    init {
        scope.launch { runner.run() }
    }

    /** Handles the HTTP requests that [EngineWire] describes. */
    val handler: HttpHandler =
        routes(
            "/health" bind Method.PUT to ::changeHealth,
            EngineWire.CHAT bind Method.POST to ifHealthy(::completeChat),
            "${EngineWire.CALLS}/{id}" bind Method.GET to ifHealthy(::resume),
            "${EngineWire.CALLS}/{id}" bind Method.DELETE to ifHealthy(::cancel),
            EngineWire.CACHE bind Method.GET to ifHealthy { json(EngineWire.json.encodeToString(engine.listing())) },
            "${EngineWire.CACHE}/{program}" bind Method.GET to ifHealthy(::export),
            "${EngineWire.CACHE}/{program}" bind Method.PUT to ifHealthy(::import),
            "${EngineWire.CACHE}/{program}" bind Method.DELETE to ifHealthy(::evict),
            EngineWire.EVENTS bind Method.GET to ifHealthy(::events),
            EngineWire.LOAD bind Method.GET to
                ifHealthy { json(EngineWire.json.encodeToString(engine.reportedLoad(runner.now))) },
            EngineWire.ORDERS bind Method.POST to ifHealthy(::order),
            EngineWire.MODELS bind Method.GET to
                ifHealthy { json(ChatResponseFormat.modelList(engine.models(runner.now).map { it.value })) },
        )

    private fun changeHealth(request: Request): Response {
        health = EngineHealth.valueOf(request.bodyString().trim().uppercase())
        return Response(Status.OK)
    }

    private fun ifHealthy(handler: HttpHandler): HttpHandler =
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

    private fun completeChat(request: Request): Response {
        val prompt = ChatPrompt.parse(request.body.stream.readBytes()) ?: return badRequest("not a chat completion")
        val call =
            EngineCall(
                id = request.header(EngineWire.CALL_HEADER) ?: Uuid.random().toHexString(),
                program = request.header(EngineWire.PROGRAM_HEADER).orEmpty(),
                model = prompt.model?.let(::ModelName),
                prompt = prompt.spans,
                answer = prompt.answer,
            )
        val running = runner.submit(call)
        resumableCalls.add(call.id, prompt, running)
        return answer(running, prompt, offset = 0)
    }

    private fun answer(
        running: RunningCall,
        prompt: ChatPrompt,
        offset: Int,
    ): Response {
        val end = if (running.end.isCompleted) running.end.getCompleted() else null
        if (end is CallEnd.Rejected) return badRequest(end.reason)
        if (end is CallEnd.Cancelled) return Response(Status.GONE)
        if (!prompt.isStream) {
            runBlocking { running.end.await() }
            return json(ChatResponseFormat(prompt).completeBody(running))
        }
        return Response(Status.OK)
            .header("content-type", "text/event-stream")
            .body(TokenStream(runner, running, prompt, offset))
    }

    private fun resume(request: Request): Response {
        val (prompt, running) = resumableCalls.find(request.path("id")!!) ?: return Response(Status.NOT_FOUND)
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
        return when (val answer = engine.execute(order, runner.now)) {
            is OrderResult.Accepted -> Response(Status.ACCEPTED)
            is OrderResult.Stale ->
                Response(Status.CONFLICT)
                    .body(ChatResponseFormat.errorBody("fencing number ${answer.highest} was seen"))
        }
    }

    private fun badRequest(reason: String) = Response(Status.BAD_REQUEST).body(ChatResponseFormat.errorBody(reason))

    private fun json(text: String) = Response(Status.OK).header("content-type", "application/json").body(text)

    override fun close() = scope.cancel()

    private companion object {
        const val HUNG_POLL_MILLIS = 50L
    }
}

/**
 * The calls that can be resumed. When there are more than [MAX_CALLS], each new call evicts the oldest one that
 * has ended. Calls in progress are never evicted.
 *
 * @param onEvicted called with each evicted call.
 */
internal class ResumableCalls(
    private val onEvicted: (RunningCall) -> Unit,
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
        onEvicted(oldest.value.second)
    }

    @Synchronized
    fun find(id: String): Pair<ChatPrompt, RunningCall>? = calls[id]

    private companion object {
        const val MAX_CALLS = 2_000
    }
}
