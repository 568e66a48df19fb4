package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import sycamore.daemon.Background
import sycamore.daemon.homes.HomeList
import sycamore.daemon.log.event
import sycamore.forwarding.BodyTooLargeException
import sycamore.forwarding.CallUpstream
import sycamore.forwarding.CallerExchange
import sycamore.links.Exchange
import sycamore.model.Generation
import sycamore.model.ServiceName
import sycamore.platform.CallHeaders
import sycamore.platform.HostSettings
import sycamore.routing.CallerHead
import sycamore.routing.CallerLimits
import sycamore.routing.ProgramName
import sycamore.routing.Repeat
import sycamore.routing.Route
import sycamore.routing.RouteTable
import sycamore.services.KeyValue
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Serves callers: finds the route of each request and has it answered by an upstream. */
class Gateway(
    settings: HostSettings,
    keys: KeyValue,
    exchange: Exchange,
    callUpstream: CallUpstream,
    registry: MeterRegistry,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val meters = CallMeters(registry)
    private val routes = RoutesInForce(keys)
    private val upstreams = UpstreamDirectory(keys, time)

    private val board = EngineBoard(upstreams, routes, exchange, settings.firstPort, time)
    private val background = Background()
    private val homeList = HomeList(keys)
    private val homes = ProgramHomes(settings.place.name, board, homeList, exchange, background, time)
    private val plain = PlainCalls(upstreams, UpstreamLoads(settings.place.name, time), callUpstream)
    private val choice = EngineChoice(settings.place, settings.places, board)
    private val turns = TurnCalls(homes, choice, board, upstreams, ::engine, exchange, meters, time)

    /** Whether callers may be sent here. */
    val isReady: Boolean get() = routes.table.value != null && upstreams.isRead

    /** Follows what the platform and the homes say, until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { routes.run() }
            launch { upstreams.run(this) }
            launch { homeList.run() }
            launch { background.run() }
            while (true) {
                delay(SWEEP)
                homes.dropIdle()
            }
        }
    }

    /** What callers may send now. */
    fun limits(): CallerLimits = routes.table.value?.limits ?: FIRST_LIMITS

    /** Serves one request. */
    suspend fun serve(caller: CallerExchange) {
        val arrived = time.markNow()
        val head = CallHeaders.decode(caller.headers)
        val table = routes.table.value
        if (table == null) {
            refused(head, OwnAnswer.NOT_RUN, "no configuration is known yet")
            return caller.answer(OwnAnswer.NOT_RUN, "no configuration is known yet", head.id, START_RETRY)
        }
        val route = table.find(caller.host, caller.target)
        if (route == null) {
            refused(head, OwnAnswer.NOT_FOUND, "no route for ${caller.host}${caller.target}", table.generation)
            return caller.answer(OwnAnswer.NOT_FOUND, "no such route", head.id)
        }
        if (head.id == null) {
            refused(head, OwnAnswer.BAD_REQUEST, "expected a request id, found none", table.generation)
            return caller.answer(OwnAnswer.BAD_REQUEST, "expected a request id, found none", null)
        }
        val body =
            try {
                caller.readBody(table.limits.bodyBytes)
            } catch (e: BodyTooLargeException) {
                refused(head, OwnAnswer.TOO_LARGE, e.message!!, table.generation)
                return caller.answer(OwnAnswer.TOO_LARGE, e.message!!, head.id)
            }
        val job = currentCoroutineContext().job
        caller.watchCaller { job.cancel() }
        val call = accept(caller, route, head, body, arrived)
        meters.begin()
        try {
            serve(caller, call)
        } finally {
            meters.end(route, caller.status, caller.cutReason != null, arrived.elapsedNow())
            logEnd(caller, call, table.generation, arrived)
        }
    }

    /** A request is refused before it is known which route it takes. */
    private fun refused(
        head: CallerHead,
        answer: OwnAnswer,
        detail: String,
        generation: Generation? = null,
    ) {
        meters.refuse(answer.status)
        log.event(
            "call-refused",
            "request" to head.id,
            "status" to answer.status,
            "detail" to detail,
            "version" to generation,
        )
    }

    private fun logEnd(
        caller: CallerExchange,
        call: AcceptedCall,
        generation: Generation,
        arrived: ComparableTimeMark,
    ) = log.event(
        "call-ended",
        "request" to call.head.id,
        "program" to call.head.program,
        "previous" to call.head.previous,
        "route" to call.route.name,
        "version" to generation,
        "service" to call.service,
        "home" to call.trace.home,
        "upstream" to call.trace.upstream,
        "sends" to call.trace.sends,
        "status" to caller.status,
        "cut" to (caller.cutReason ?: "the caller left".takeIf { caller.status == null }),
        "detail" to call.trace.detail,
        "ms" to arrived.elapsedNow().inWholeMilliseconds,
        "time_left_ms" to call.timeLeft.inWholeMilliseconds,
    )

    private fun accept(
        caller: CallerExchange,
        route: Route,
        head: CallerHead,
        body: ByteArray,
        arrived: ComparableTimeMark,
    ): AcceptedCall {
        val limit = minOf(head.timeLeft ?: Duration.INFINITE, route.timeout)
        return AcceptedCall(
            route = route,
            service = serviceOf(route, head),
            head = head,
            method = caller.method,
            target = caller.target,
            forwarded = CallHeaders.filterForUpstream(caller.headers),
            body = body,
            until = arrived + limit,
        )
    }

    private suspend fun serve(
        caller: CallerExchange,
        call: AcceptedCall,
    ) {
        val turn = call.head.id!!
        if (call.route.repeat == Repeat.ONCE_STREAMED && engine(call) != null) {
            // A call of no program is one of its own, of a single turn.
            turns.serve(caller, call, call.head.program ?: ProgramName(turn.value), turn)
        } else {
            plain.serve(caller, call)
        }
    }

    /** A program stays with one of a route's services, since the other's engines do not hold its cache. */
    private fun serviceOf(
        route: Route,
        head: CallerHead,
    ): ServiceName {
        val total = route.services.sumOf { it.weight }
        val program = head.program
        var point = if (program == null) Random.nextInt(total) else Math.floorMod(program.value.hashCode(), total)
        for (part in route.services) {
            if (point < part.weight) return part.service
            point -= part.weight
        }
        return route.services.last().service
    }

    private fun engine(call: AcceptedCall) = engineOf(routes.table.value, call.service)

    private fun engineOf(
        table: RouteTable?,
        service: ServiceName,
    ) = table?.services?.get(service)?.engine

    private companion object {
        val SWEEP = 10.seconds

        /** Until a configuration is known. */
        val FIRST_LIMITS =
            CallerLimits(
                headerBytes = 16_384,
                bodyBytes = 4_194_304,
                headerTimeout = 3.seconds,
                idleTimeout = 15.seconds,
            )

        /** A daemon that starts reads the configuration within this time. */
        val START_RETRY = 300.milliseconds
    }
}
