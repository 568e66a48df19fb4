package sycamore.bench.recovery

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import sycamore.bench.history.FleetInterceptors
import sycamore.host.CallUpstream
import sycamore.host.HostWorld
import sycamore.host.UpstreamEvent
import sycamore.links.Call
import sycamore.links.Done
import sycamore.links.Exchange
import sycamore.links.Homed
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Retain
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.model.HostName
import sycamore.model.Upstream
import sycamore.services.KeyValue
import sycamore.services.Revision
import sycamore.services.Write
import kotlin.time.Duration

/**
 * Watches the way of one call and reports each point when it is first reached.
 *
 * @param reached told the point, and the host whose code is there; returns whether that host is dead now.
 */
internal class PointWatch(
    private val call: () -> CallId?,
    private val reached: (FailurePoint, HostName) -> Boolean,
    configure: HostWorld.Builder.() -> Unit = {},
) {
    private var isAccepted = false

    /** Segments of logs that were written. */
    var segments = 0
        private set

    /** Stands between the daemons and their surroundings. */
    val tap = FleetInterceptors(::exchange, ::keys, ::upstream, configure)

    private suspend fun at(
        point: FailurePoint,
        host: HostName,
    ) {
        if (reached(point, host)) awaitCancellation()
    }

    private fun exchange(
        host: HostName,
        inner: Exchange,
    ): Exchange =
        { to, message ->
            flow {
                if (message is Call && message.id == call()) at(FailurePoint.CALL_SENT, host)
                if (message is Retain && isAccepted) at(FailurePoint.RECORDS_SENT, host)
                inner(to, message).collect { reply ->
                    watch(host, message, reply)
                    emit(reply)
                }
            }
        }

    private suspend fun watch(
        host: HostName,
        message: Message,
        reply: Message,
    ) {
        if (message is Retain && reply is Done && isAccepted) at(FailurePoint.RECORDS_SAFE, host)
        if (message !is Call || message.id != call()) return
        when (reply) {
            is Homed -> {
                isAccepted = true
                at(FailurePoint.ACCEPTED, host)
            }
            is Part -> at(FailurePoint.ANSWER_FORWARDED, host)
            is Whole -> at(FailurePoint.ANSWER_WHOLE, host)
            else -> Unit
        }
    }

    private fun upstream(
        host: HostName,
        inner: CallUpstream,
    ): CallUpstream =
        { upstream: Upstream, forward ->
            if (forward.id == call()) watched(host, inner(upstream, forward)) else inner(upstream, forward)
        }

    private fun watched(
        host: HostName,
        events: Flow<UpstreamEvent>,
    ): Flow<UpstreamEvent> =
        flow {
            at(FailurePoint.UPSTREAM_STARTED, host)
            events.collect { event ->
                if (event is UpstreamEvent.Bytes) at(FailurePoint.UPSTREAM_ANSWERING, host)
                if (event is UpstreamEvent.End) at(FailurePoint.UPSTREAM_FINISHED, host)
                emit(event)
            }
        }

    private fun keys(
        host: HostName,
        inner: KeyValue,
    ): KeyValue =
        object : KeyValue by inner {
            override suspend fun put(
                key: String,
                value: ByteArray,
                expected: Revision,
                lease: Duration?,
            ): Write {
                val isSegment = key.startsWith("log/") && isAccepted
                if (isSegment) at(FailurePoint.RECORDS_SENT, host)
                val write = inner.put(key, value, expected, lease)
                if (key.startsWith("log/")) segments++
                if (isSegment) at(FailurePoint.RECORDS_SAFE, host)
                return write
            }
        }
}
