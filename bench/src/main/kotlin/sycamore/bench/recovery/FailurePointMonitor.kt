package sycamore.bench.recovery

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import sycamore.bench.history.FleetInterceptors
import sycamore.host.CallUpstream
import sycamore.host.HostEnvironment
import sycamore.host.UpstreamEvent
import sycamore.links.Call
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.Homed
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.RetainRecords
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.model.HostName
import sycamore.model.Upstream
import sycamore.services.KeyValue
import sycamore.services.KeyVersion
import sycamore.services.Revision
import sycamore.services.WriteResult
import kotlin.time.Duration

/**
 * Monitors the course of one call and reports the failure points that it reaches.
 *
 * @property probedCall returns the id of the call, or null while it is not in progress.
 * @property onReached called with a point and the host whose code has reached it. Returns whether that host is down
 * now, in which case its code does not continue.
 * @param configure sets up the environment of each host.
 */
internal class FailurePointMonitor(
    private val probedCall: () -> CallId?,
    private val onReached: (FailurePoint, HostName) -> Boolean,
    configure: HostEnvironment.Builder.() -> Unit = {},
) {
    private var isAccepted = false

    /** Number of log segments that were written. */
    var segments = 0
        private set

    /** Intercepts the messages, key-value writes and upstream calls of the daemons. */
    val tap = FleetInterceptors(::interceptExchange, ::interceptKeyValue, ::interceptUpstream, configure)

    private suspend fun report(
        point: FailurePoint,
        host: HostName,
    ) {
        if (onReached(point, host)) awaitCancellation()
    }

    private fun interceptExchange(
        host: HostName,
        inner: Exchange,
    ): Exchange =
        { to, message ->
            flow {
                if (message is Call && message.id == probedCall()) report(FailurePoint.CALL_SENT, host)
                if (message is RetainRecords && isAccepted) report(FailurePoint.RECORDS_SENT, host)
                inner(to, message).collect { reply ->
                    reportReply(host, message, reply)
                    emit(reply)
                }
            }
        }

    private suspend fun reportReply(
        host: HostName,
        message: Message,
        reply: Message,
    ) {
        if (message is RetainRecords && reply is Done && isAccepted) report(FailurePoint.RECORDS_SAFE, host)
        if (message !is Call || message.id != probedCall()) return
        when (reply) {
            is Homed -> {
                isAccepted = true
                report(FailurePoint.ACCEPTED, host)
            }
            is Part -> report(FailurePoint.ANSWER_FORWARDED, host)
            is Whole -> report(FailurePoint.ANSWER_WHOLE, host)
            else -> Unit
        }
    }

    private fun interceptUpstream(
        host: HostName,
        inner: CallUpstream,
    ): CallUpstream =
        { upstream: Upstream, forward ->
            if (forward.id == probedCall()) monitor(host, inner(upstream, forward)) else inner(upstream, forward)
        }

    private fun monitor(
        host: HostName,
        events: Flow<UpstreamEvent>,
    ): Flow<UpstreamEvent> =
        flow {
            report(FailurePoint.UPSTREAM_STARTED, host)
            events.collect { event ->
                if (event is UpstreamEvent.Bytes) report(FailurePoint.UPSTREAM_ANSWERING, host)
                if (event is UpstreamEvent.End) report(FailurePoint.UPSTREAM_FINISHED, host)
                emit(event)
            }
        }

    private fun interceptKeyValue(
        host: HostName,
        inner: KeyValue,
    ): KeyValue =
        object : KeyValue by inner {
            override suspend fun put(
                key: String,
                value: ByteArray,
                expected: Revision,
                lease: Duration?,
                condition: KeyVersion?,
            ): WriteResult {
                val isSegment = key.startsWith("log/") && isAccepted
                if (isSegment) report(FailurePoint.RECORDS_SENT, host)
                val write = inner.put(key, value, expected, lease, condition)
                if (key.startsWith("log/")) segments++
                if (isSegment) report(FailurePoint.RECORDS_SAFE, host)
                return write
            }
        }
}
