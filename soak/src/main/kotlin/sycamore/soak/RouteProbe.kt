package sycamore.soak

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import sycamore.platform.SampleDocuments
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Calls the routes that were added and dropped last at [gateway], and reports those that came into force too late. */
internal class RouteProbe(
    private val gateway: Daemon,
    private val deployment: Deployment,
    private val observations: Observations,
    private val faults: FaultLog,
) {
    private val random = Random(gateway.name.hashCode())
    private var sent = 0

    /** Sends calls until cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            deployment.routes.recent.forEach(::probe)
            delay(INTERVAL)
        }
    }

    private fun probe(route: ChangingRoute) {
        val id = "r-${gateway.name}.${++sent}"
        val at = TimeSource.Monotonic.markNow()
        val key = deployment.accounts?.run { choose(accountOf(sent), random) }
        val attempt = Attempt(id, CallKind.REPEATABLE, gateway, "${route.prefix}$sent", "probe $id", at, key)
        observations.begin(attempt)
        val result = send(attempt) ?: return
        observations.recordResponse(attempt, result.response, result.isTimeout)
        val status = result.response?.head?.status ?: return
        val late = deployment.routes.lateness(route, at, status) ?: return
        if (!faults.isInTouch(gateway, at)) return
        val detail = "${observations.describe(attempt)}: status $status at ${route.prefix}, $late too late"
        observations.report(Rule.CONFIG, id, detail)
    }

    /** The result of [attempt]; null if the gateway accepts no connection. */
    private fun send(attempt: Attempt): CallResult? =
        try {
            CallerConnection(deployment.callersAddress(gateway), CONNECT_TIMEOUT).use {
                val headers = listOf("Host" to Deployment.HOST) + SampleDocuments.callHeaders(attempt.id, DEADLINE)
                val key = listOfNotNull(attempt.key?.run { SampleDocuments.key(value) })
                it.call(attempt.path, headers + key, attempt.prompt, DEADLINE + ANSWER_TIME)
            }
        } catch (_: IOException) {
            null
        }

    private companion object {
        val INTERVAL = 100.milliseconds
        val CONNECT_TIMEOUT = 1.seconds
        val DEADLINE = 5.seconds

        /** The time after the deadline in which the answer may arrive. */
        val ANSWER_TIME = 500.milliseconds
    }
}
