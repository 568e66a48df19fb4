package sycamore.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.micrometer.core.instrument.MeterRegistry
import org.http4k.core.Response
import sycamore.daemon.log.LogFields
import sycamore.daemon.log.at
import sycamore.daemon.recordLatency
import sycamore.programs.Outcome
import java.util.concurrent.atomic.AtomicInteger

private val log = KotlinLogging.logger {}

/** Counts and times the requests of callers and writes a log line about each. */
internal class EntryMeters(
    private val registry: MeterRegistry,
) {
    private val inProgress = AtomicInteger().also { registry.gauge(IN_PROGRESS, it) }

    /** Counts a request as in progress. */
    fun begin() {
        inProgress.incrementAndGet()
    }

    /** Records that [response], the answer to the request of [trace], has been written to the caller. */
    fun end(
        trace: RequestTrace,
        response: Response,
    ) {
        inProgress.decrementAndGet()
        val outcome = trace.outcome(response)
        val service = trace.call?.service?.value ?: NO_SERVICE
        registry.recordLatency(REQUESTS, trace.elapsed, "service", service, "outcome", outcome)
        trace.timeToFirstPart?.let { registry.recordLatency(FIRST_PART, it, "service", service) }
        if (outcome != RequestTrace.ANSWERED) countRefusal(response, service, outcome)
        logRequest(trace, response, outcome)
    }

    private fun countRefusal(
        response: Response,
        service: String,
        outcome: String,
    ) {
        val status = response.status.code.toString()
        registry.counter(REFUSALS, "service", service, "outcome", outcome, "status", status).increment()
    }

    private fun logRequest(
        trace: RequestTrace,
        response: Response,
        outcome: String,
    ) {
        val about = LogFields(trace.program ?: trace.call?.program, trace.call?.id)
        val more =
            mapOf(
                "caller" to trace.caller,
                "status" to response.status.code,
                "outcome" to outcome,
                "millis" to trace.elapsed.inWholeMilliseconds,
            )
        log.at(levels[outcome] ?: Level.DEBUG, about, more) {
            "${trace.method} ${trace.path}: ${trace.cutOffReason?.detail ?: outcome}"
        }
    }

    private companion object {
        const val REQUESTS = "sycamore.requests"
        const val FIRST_PART = "sycamore.first.part"
        const val REFUSALS = "sycamore.refusals"
        const val IN_PROGRESS = "sycamore.requests.in.progress"
        const val NO_SERVICE = "none"

        val levels =
            mapOf(
                Outcome.NOT_RUN.text to Level.INFO,
                Outcome.FAILED.text to Level.INFO,
                Outcome.UNKNOWN.text to Level.WARN,
                RequestTrace.CUT_OFF to Level.WARN,
            )
    }
}
