package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.Background
import sycamore.daemon.InvalidEntries
import sycamore.daemon.accounts.AccountClocks
import sycamore.daemon.bindWatchAge
import sycamore.daemon.homes.HomeList
import sycamore.daemon.log.event
import sycamore.forwarding.BodyTooLargeException
import sycamore.forwarding.CallUpstream
import sycamore.forwarding.CallerExchange
import sycamore.forwarding.PlannedStop
import sycamore.links.Exchange
import sycamore.model.Generation
import sycamore.model.ServiceName
import sycamore.platform.CallHeaders
import sycamore.platform.Header
import sycamore.platform.HostSettings
import sycamore.platform.PlatformBounds
import sycamore.routing.CallKind
import sycamore.routing.CallerHead
import sycamore.routing.CallerLimits
import sycamore.routing.ClientAccount
import sycamore.routing.ProgramName
import sycamore.routing.Route
import sycamore.routing.RouteTable
import sycamore.services.KeyValue
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * Serves callers: finds the route and the account of each request and forwards the request to an upstream.
 *
 * @param bounds returns the time bounds in force, which may change while the gateway runs.
 */
class Gateway(
    settings: HostSettings,
    keyValue: KeyValue,
    exchange: Exchange,
    callUpstream: CallUpstream,
    registry: MeterRegistry,
    private val stop: PlannedStop = PlannedStop({ settings.bounds.gracePeriod }),
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    wallClock: Clock = Clock.System,
    bounds: () -> PlatformBounds = { settings.bounds },
) {
    private val startedAt = time.markNow()
    private val clocks = AccountClocks(time, wallClock)
    private val meters = CallMeters(registry)
    private val routes = RoutesInForce(keyValue, time)
    private val authenticator = Authenticator(bounds) { routes.age }
    private val upstreams = UpstreamDirectory(keyValue, InvalidEntries("upstream", registry), time)

    private val background = Background()
    private val engineHosts = EngineDirectory(upstreams, routes, exchange, settings.firstPort, background, time)
    private val homeList = HomeList(keyValue.unhurried, InvalidEntries("home", registry), time = time)
    private val homes = ProgramHomes(settings.place.name, engineHosts, homeList, exchange, background, time)
    private val loads = UpstreamLoads(settings.place.name, time, registry)
    private val plainCalls = PlainCalls(upstreams, loads, callUpstream)
    private val selector = EngineSelector(settings.place, settings.places, engineHosts)
    private val homeSelector = HomeSelector(settings.place, settings.places, homeList, engineHosts)
    private val targets = TurnTargets(selector, engineHosts, homeSelector, homeList, upstreams, loads)
    private val turnCalls = TurnCalls(homes, targets, engineHosts, upstreams, routes.table, exchange, meters, time)
    private val credits = AccountCredits(homeList, exchange, clocks, meters)
    private val limitedCalls = LimitedCalls(credits, routes.table, { homes.knownHome(it) != null }, meters)

    init {
        registry.bindWatchAge("configuration", routes::age)
        registry.bindWatchAge("homes", homeList::age)
    }

    /** Whether the platform may send callers to this gateway: the configuration and the list of upstreams were read. */
    val isReady: Boolean get() = routes.table.value != null && upstreams.isRead

    /** Watches the configuration and the registrations of upstreams and homes until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { routes.run() }
            launch { upstreams.run(this) }
            launch { homeList.run() }
            launch { background.run() }
            launch { credits.run(routes.table) }
            while (true) {
                delay(EVICTION_INTERVAL)
                homes.evictIdle()
                credits.evictIdle()
                loads.retain(upstreams.all.mapTo(HashSet()) { it.id })
            }
        }
    }

    /** The current limits of callers. */
    fun limits(): CallerLimits = routes.table.value?.limits ?: DEFAULT_LIMITS

    /** Serves one request of a caller. */
    suspend fun serve(caller: CallerExchange) {
        val arrivedAt = time.markNow()
        val head = CallHeaders.decode(caller.headers)
        val table = awaitRoutes(head)
        if (table == null) {
            logRefusal(head, GatewayError.NOT_RUN, "no configuration is known yet")
            return caller.respond(GatewayError.NOT_RUN, "no configuration is known yet", head.id, STARTUP_RETRY_AFTER)
        }
        val route = table.find(caller.host, caller.target)
        if (route == null) {
            logRefusal(head, GatewayError.NOT_FOUND, "no route for ${caller.host}${caller.target}", table.generation)
            return caller.respond(GatewayError.NOT_FOUND, "no such route", head.id)
        }
        val account =
            when (val result = authenticator.authenticate(caller.headers, route, table.accounts)) {
                is Authentication.Accepted -> result.account
                is Authentication.Refused -> return refuseKey(caller, head, result.fault, table.generation)
                Authentication.Unconfirmed -> {
                    logRefusal(head, GatewayError.NOT_RUN, UNCONFIRMED, table.generation)
                    return caller.respond(GatewayError.NOT_RUN, UNCONFIRMED, head.id, UNCONFIRMED_RETRY_AFTER)
                }
            }
        if (head.id == null) {
            logRefusal(head, GatewayError.BAD_REQUEST, "expected a request id, found none", table.generation, account)
            return caller.respond(GatewayError.BAD_REQUEST, "expected a request id, found none", null)
        }
        val body =
            try {
                stop.untilFinalAnswers { caller.readBody(table.limits.bodyBytes) }
            } catch (e: BodyTooLargeException) {
                logRefusal(head, GatewayError.TOO_LARGE, e.message!!, table.generation, account)
                return caller.respond(GatewayError.TOO_LARGE, e.message!!, head.id)
            }
        if (body == null) {
            logRefusal(head, GatewayError.NOT_RUN, STOPPING, table.generation, account)
            return caller.respond(GatewayError.NOT_RUN, STOPPING, head.id, STOP_RETRY_AFTER)
        }
        val job = currentCoroutineContext().job
        caller.watchCaller { job.cancel() }
        val forwarded =
            if (table.accounts.isInUse) {
                CallHeaders.filterForUpstream(caller.headers, account?.name)
            } else {
                CallHeaders.filterForUpstream(caller.headers)
            }
        val call = accept(caller, route, account, head, forwarded, body, arrivedAt)
        meters.recordStart()
        try {
            stop.untilFinalAnswers { serve(caller, call) } ?: answerFinally(caller, call)
        } finally {
            meters.recordEnd(route, caller.status, caller.abortReason != null, arrivedAt.elapsedNow())
            logEnd(caller, call, table.generation, arrivedAt)
        }
    }

    /**
     * Returns the current routes. While this daemon starts, it waits until they and the list of upstreams were read.
     * Returns null if the routes are still unknown after that.
     */
    private suspend fun awaitRoutes(head: CallerHead): RouteTable? {
        if (!isReady) {
            val startupLeft = MAX_STARTUP_TIME - startedAt.elapsedNow()
            withTimeoutOrNull(minOf(startupLeft, (head.timeLeft ?: Duration.INFINITE) / 2)) {
                routes.table.first { it != null }
                upstreams.awaitRead()
            }
        }
        return routes.table.value
    }

    private suspend fun refuseKey(
        caller: CallerExchange,
        head: CallerHead,
        fault: KeyFault,
        generation: Generation,
    ) {
        meters.recordKeyRefusal(fault)
        logRefusal(head, GatewayError.UNAUTHENTICATED, fault.detail, generation)
        caller.respond(GatewayError.UNAUTHENTICATED, fault.detail, head.id)
    }

    /** Counts and logs a request that is refused before a route accepted it. */
    private fun logRefusal(
        head: CallerHead,
        error: GatewayError,
        detail: String,
        generation: Generation? = null,
        account: ClientAccount? = null,
    ) {
        meters.recordRefusal(error.status)
        log.event(
            "call-refused",
            "request" to head.id,
            "account" to account?.name,
            "status" to error.status,
            "detail" to detail,
            "version" to generation,
            "config_age_ms" to routes.age?.inWholeMilliseconds,
            isExceptional = error == GatewayError.NOT_RUN,
        )
    }

    private fun logEnd(
        caller: CallerExchange,
        call: AcceptedCall,
        generation: Generation,
        arrivedAt: ComparableTimeMark,
    ) = log.event(
        "call-ended",
        "request" to call.head.id,
        "account" to call.account?.name,
        "program" to call.program,
        "previous" to call.head.previous,
        "route" to call.route.name,
        "version" to generation,
        "config_age_ms" to routes.age?.inWholeMilliseconds,
        "service" to call.service,
        "home" to call.trace.home,
        "upstream" to call.trace.upstream,
        "choice" to call.trace.choice,
        "sends" to call.trace.sends,
        "attempts" to
            call.trace.failedAttempts
                .takeIf { it.isNotEmpty() }
                ?.joinToString("; "),
        "connection_requests" to call.trace.connection?.requests,
        "connection_ms" to
            call.trace.connection
                ?.age
                ?.inWholeMilliseconds,
        "status" to caller.status,
        "cut" to (caller.abortReason ?: "the caller left".takeIf { caller.status == null }),
        "detail" to call.trace.detail,
        "account" to call.account?.name,
        "limit_decider" to call.trace.limitRefusal?.decider,
        "limit_version" to call.trace.limitRefusal?.generation,
        "retry_after_ms" to
            call.trace.limitRefusal
                ?.retryAfter
                ?.inWholeMilliseconds,
        "ms" to arrivedAt.elapsedNow().inWholeMilliseconds,
        "time_left_ms" to call.timeLeft.inWholeMilliseconds,
        isExceptional = call.trace.isUnusual || caller.status !in SUCCESS_STATUSES || caller.abortReason != null,
    )

    private fun accept(
        caller: CallerExchange,
        route: Route,
        account: ClientAccount?,
        head: CallerHead,
        forwarded: List<Header>,
        body: ByteArray,
        arrivedAt: ComparableTimeMark,
    ): AcceptedCall {
        val limit = minOf(head.timeLeft ?: Duration.INFINITE, route.timeout)
        return AcceptedCall(
            route = route,
            service = chooseService(route, head),
            head = head,
            method = caller.method,
            target = caller.target,
            forwarded = forwarded,
            body = body,
            deadline = arrivedAt + limit,
            stop = stop,
            account = account,
        )
    }

    private suspend fun serve(
        caller: CallerExchange,
        call: AcceptedCall,
    ) {
        if (!call.isSendable) return refuseAsStopping(caller, call)
        limitedCalls.serve(
            call,
            { error, detail, retryAfter -> caller.respond(error, detail, call.head.id, retryAfter) },
        ) {
            forward(caller, call)
        }
    }

    private suspend fun forward(
        caller: CallerExchange,
        call: AcceptedCall,
    ) {
        val hasHome =
            when (call.kind) {
                CallKind.TURN -> true
                // Passes the gate of its engine.
                CallKind.STREAM -> engineHosts.hasEngines(call.service)
                CallKind.SINGLE -> false
            }
        if (!hasHome) return plainCalls.serve(caller, call)
        // A call without a program is handled as the only turn of a program of its own.
        val turn = call.head.id!!
        turnCalls.serve(caller, call, call.program ?: ProgramName.of(call.account?.name, turn.value), turn)
    }

    /** Ends [call], which is still open when this gateway stops. */
    private suspend fun answerFinally(
        caller: CallerExchange,
        call: AcceptedCall,
    ) {
        call.trace.detail = STOPPING
        when {
            caller.isStarted -> caller.abort(STOPPING)
            call.mayHaveRun -> caller.respond(GatewayError.TOO_LATE, STOPPING, call.head.id)
            else -> refuseAsStopping(caller, call)
        }
    }

    private suspend fun refuseAsStopping(
        caller: CallerExchange,
        call: AcceptedCall,
    ) {
        call.trace.detail = STOPPING
        caller.respond(GatewayError.NOT_RUN, STOPPING, call.head.id, STOP_RETRY_AFTER)
    }

    /**
     * Chooses one of the services of [route] by weight. All turns of a program go to the same service, since the
     * engines of the others do not hold its cache.
     */
    private fun chooseService(
        route: Route,
        head: CallerHead,
    ): ServiceName {
        val total = route.services.sumOf { it.weight.toLong() }
        val hash =
            head.program
                ?.value
                ?.hashCode()
                ?.toLong()
        var position = if (hash == null) Random.nextLong(total) else Math.floorMod(hash, total)
        for (part in route.services) {
            if (position < part.weight) return part.service
            position -= part.weight
        }
        return route.services.last().service
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
        val EVICTION_INTERVAL = 10.seconds

        /** The limits until a configuration is known. */
        val DEFAULT_LIMITS =
            CallerLimits(
                headerBytes = 16_384,
                bodyBytes = 4_194_304,
                headerTimeout = 3.seconds,
                idleTimeout = 15.seconds,
            )

        /**
         * The time after the start within which the configuration is read, unless the key-value service is unavailable.
         * Requests that arrive later are refused at once while the configuration is unknown.
         */
        val MAX_STARTUP_TIME = 1500.milliseconds

        const val STOPPING = "this gateway stops"

        /** Callers retry on new connections, which the platform forwards to other gateways. */
        val STOP_RETRY_AFTER = 20.milliseconds

        const val UNCONFIRMED = "the configuration was not confirmed lately, so the key may have been taken away"

        /** Callers retry at other gateways, which may reach the key-value service. */
        val UNCONFIRMED_RETRY_AFTER = 100.milliseconds

        /** The time in which a starting daemon reads the configuration. */
        val STARTUP_RETRY_AFTER = 300.milliseconds
    }
}
