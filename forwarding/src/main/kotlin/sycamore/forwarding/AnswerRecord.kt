package sycamore.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import sycamore.daemon.log.event
import sycamore.platform.ResponseHead

private val log = KotlinLogging.logger {}

/**
 * Counts the answers of upstreams by the request that they name and by what they state about the run of the call, and
 * logs the unusual ones.
 */
internal class AnswerRecord(
    private val registry: MeterRegistry,
) {
    /** Records that the answer with [head] was received for [request] on a connection after [use]. */
    fun recordHead(
        request: UpstreamRequest,
        head: ResponseHead,
        use: ConnectionUse,
    ) {
        val named =
            when (head.id) {
                request.id -> OWN_REQUEST
                null -> NO_REQUEST
                else -> OTHER_REQUEST
            }
        val statement =
            when {
                head.isNotRun -> NOT_RUN
                head.isUnconfirmedRefusal || head.isContradictory -> UNCONFIRMED
                else -> ANSWERED
            }
        registry.counter(ANSWERS, "names", named, "states", statement).increment()
        if (named != OWN_REQUEST) logHead("answer-misattributed", request, head, use)
        if (statement == UNCONFIRMED) logHead("refusal-unconfirmed", request, head, use)
    }

    private fun logHead(
        event: String,
        request: UpstreamRequest,
        head: ResponseHead,
        use: ConnectionUse,
    ) = log.event(
        event,
        "request" to request.id,
        "named" to head.id,
        "status" to head.status,
        "not_run" to head.statesNotRun,
        "address" to request.address,
        "connection_requests" to use.requests,
        "connection_ms" to use.age.inWholeMilliseconds,
        isExceptional = true,
    )

    /** Records that [request] failed before its response was complete. */
    fun recordFailure(sent: Boolean) = registry.counter(FAILURES, "sent", sent.toString()).increment()

    /** Records that bytes that belong to no request were received on [connection]. */
    fun recordStrayBytes(connection: ClientConnection) {
        registry.counter(STRAY_BYTES).increment()
        logStrayBytes(connection)
    }

    companion object {
        private const val ANSWERS = "sycamore.upstream.answers"
        private const val FAILURES = "sycamore.upstream.failures"
        private const val STRAY_BYTES = "sycamore.upstream.stray.bytes"

        private const val OWN_REQUEST = "own"
        private const val OTHER_REQUEST = "other"
        private const val NO_REQUEST = "none"

        private const val NOT_RUN = "not_run"
        private const val UNCONFIRMED = "unconfirmed"
        private const val ANSWERED = "answer"

        /** Logs that bytes that belong to no request were received on [connection]. */
        fun logStrayBytes(connection: ClientConnection) {
            val use = connection.use
            log.event(
                "stray-bytes",
                "address" to connection.remoteSocketAddress,
                "connection_requests" to use.requests,
                "connection_ms" to use.age.inWholeMilliseconds,
                isExceptional = true,
            )
        }
    }
}
