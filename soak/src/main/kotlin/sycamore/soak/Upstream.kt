package sycamore.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Address
import sycamore.platform.Header
import sycamore.platform.SampleDocuments
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * An upstream on bare sockets that injects faults into its answers.
 *
 * @param address the address at which it accepts connections.
 * @param seed determines which exchanges are faulty, in their order, and what its answers contain.
 */
internal class Upstream(
    private val name: String,
    address: Address,
    val isEngine: Boolean,
    private val limits: UpstreamLimits,
    seed: Long,
    private val observations: Observations,
    private val counts: UpstreamCounts,
    private val scope: CoroutineScope,
) {
    private val random = Random(seed)

    @Volatile
    private var listener = listen(address)

    /** The address at which it accepts connections. */
    @Volatile
    var address: Address = address
        private set

    /** What the store says of this upstream. */
    @Volatile
    var registration = Registration.READY

    /** Whether answers announce that this upstream leaves. */
    @Volatile
    var isLeaving = false

    /** The time of the last start under the present id, as this upstream states it. */
    @Volatile
    var bornMillis = 1L
        private set
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()
    private val busy = AtomicInteger()
    private val restarts = AtomicInteger()
    private val accepted = AtomicInteger()

    /** The faults that may occur, and the share of exchanges that have one. */
    @Volatile
    var faults: List<UpstreamFault> = emptyList()

    /** What tells this start of the upstream from others under the same id. */
    val start: String get() = "$id/$bornMillis"

    /** The id under which this upstream is registered. It changes at a restart. */
    val id: String get() = "$name-${restarts.get()}"

    /** Serves connections until the scope is cancelled. */
    fun start() {
        val listener = listener
        scope.launch {
            while (!listener.isClosed) {
                val socket = accept(listener) ?: break
                if (sockets.size >= limits.connections) {
                    counts.connectionsReset.incrementAndGet()
                    reset(socket)
                    continue
                }
                sockets += socket
                scope.launch { socket.use { UpstreamConnection(it).serve() } }
            }
        }
    }

    /** Accepts the next connection; null after [close]. */
    private fun accept(listener: ServerSocket): Socket? =
        try {
            listener.accept()
        } catch (e: SocketException) {
            if (!listener.isClosed) throw e
            null
        }

    /** Drops all connections and continues under another id at the same address. */
    fun restart() {
        restarts.incrementAndGet()
        sockets.forEach(Socket::close)
        sockets.clear()
    }

    fun close() {
        listener.close()
        sockets.forEach(Socket::close)
    }

    /** Accepts no more connections, and closes those that are open when no call runs. */
    suspend fun leave() {
        listener.close()
        withTimeoutOrNull(limits.work + LEAVING_TIME) { while (busy.get() > 0) delay(POLL_INTERVAL) }
        observations.recordEnd(start)
        sockets.forEach(Socket::close)
        sockets.clear()
    }

    /** Starts at [address] as another upstream, or as a new start under the same id if [hasSameId]. */
    fun startAgain(
        address: Address,
        hasSameId: Boolean,
    ) {
        this.address = address
        if (hasSameId) bornMillis++ else restarts.incrementAndGet()
        isLeaving = false
        registration = Registration.READY
        listener = listen(address)
        start()
    }

    private fun listen(address: Address) = ServerSocket(address.port, BACKLOG, InetAddress.getByName(address.ip))

    private fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Chooses the fault of the next exchange. */
    private fun nextFault(): UpstreamFault? =
        synchronized(random) { if (random.nextDouble() < limits.faultyShare) faults.randomOrNull(random) else null }

    private fun nextBody(
        id: String,
        isStream: Boolean,
    ): ByteArray =
        synchronized(random) {
            val nonce = random.nextLong().toString(HEXADECIMAL)
            if (isStream) {
                val events = 1 + random.nextInt(MAX_EVENTS)
                (1..events).joinToString("") { "id: $it\ndata: $id.$nonce.$it\n\n" }
            } else {
                val size = if (random.nextInt(LARGE_ONE_IN) == 0) LARGE_BYTES else random.nextInt(SMALL_BYTES)
                "$id.$nonce." + "x".repeat(size)
            }.encodeToByteArray()
        }

    private inner class UpstreamConnection(
        private val socket: Socket,
    ) {
        private val wire = HttpWire(socket.getInputStream().buffered())
        private val output = socket.getOutputStream()
        private val connection = accepted.incrementAndGet()
        private var requests = 0
        private var isClean = true

        /** Bytes of an earlier answer that are written again after the next request. */
        private var repeated: ByteArray? = null

        fun serve() {
            try {
                limits.idleTimeout?.let { socket.soTimeout = it.inWholeMilliseconds.toInt() }
                while (true) {
                    val (head, body) = wire.readRequest() ?: return
                    counts.received.incrementAndGet()
                    requests++
                    repeated?.let(output::write)
                    repeated = null
                    if (!exchange(head, body)) return
                }
            } catch (_: SocketTimeoutException) {
                counts.idleClosed.incrementAndGet()
            } catch (_: IOException) {
                // The caller left, or this upstream was restarted.
            } finally {
                sockets -= socket
            }
        }

        /** Serves one request. Returns whether the connection stays open. */
        private fun exchange(
            head: MessageHead,
            body: ByteArray,
        ): Boolean {
            val request = SampleDocuments.requestId(head.headers) ?: return refuse(head, BAD_REQUEST)
            observations.checkHeaders(request, head.headers)
            val expected = SampleDocuments.expectedUpstream(head.headers)
            if (expected != null && expected != id) return refuse(head, MISDIRECTED)
            val fault = nextFault()
            if (fault?.isRefusal == true) return refuseWith(fault, head)
            if (busy.get() >= limits.slots) return refuse(head, UNAVAILABLE)
            val path = head.startLine.split(' ')[1]
            val isStream = path.startsWith(CallKind.TURN.prefix)
            val answer = nextBody(request, isStream)
            val run = Run(start, answer, fault, isClean, TimeSource.Monotonic.markNow(), isLeaving, isStream)
            if (run.isLeaving) counts.leavingAnnounced.incrementAndGet()
            busy.incrementAndGet()
            recordReceipt(request, "run")
            try {
                observations.recordRun(request, path, body.decodeToString(), run)
                return answer(head, run)
            } finally {
                run.end = TimeSource.Monotonic.markNow()
                busy.decrementAndGet()
                if (fault != null) isClean = false
            }
        }

        private fun refuseWith(
            fault: UpstreamFault,
            head: MessageHead,
        ): Boolean {
            val status = if (fault == UpstreamFault.MISDIRECTED) MISDIRECTED else UNAVAILABLE
            val bytes = refusal(head, status)
            output.write(bytes)
            if (fault.isRepeatedRefusal) counts.repeatedRefusals.incrementAndGet()
            if (fault == UpstreamFault.REFUSAL_TWICE) output.write(bytes)
            if (fault == UpstreamFault.REFUSAL_TWICE_LATE) repeated = bytes
            if (fault != UpstreamFault.FULL) isClean = false
            return true
        }

        private fun refuse(
            head: MessageHead,
            status: Int,
        ): Boolean {
            output.write(refusal(head, status))
            return true
        }

        private fun refusal(
            head: MessageHead,
            status: Int,
        ): ByteArray {
            counts.refused.incrementAndGet()
            SampleDocuments.requestId(head.headers)?.let { recordReceipt(it, "$status") }
            val headers = headersOf(head, isLeaving) + SampleDocuments.notRunHeader
            return HttpWire.encode("HTTP/1.1 $status Refused", headers + ("Content-Length" to "0"), ByteArray(0))
        }

        private fun headersOf(
            head: MessageHead,
            isLeaving: Boolean,
        ) = SampleDocuments.answerHeaders(head.headers) +
            listOfNotNull(SampleDocuments.leavingHeader.takeIf { isLeaving })

        private fun recordReceipt(
            request: String,
            outcome: String,
        ) = observations.recordReceipt(request, start, "$address", connection, requests, outcome)

        private fun answer(
            head: MessageHead,
            run: Run,
        ): Boolean {
            val type = "Content-Type" to if (run.isStream) "text/event-stream" else "text/plain"
            val headers = headersOf(head, run.isLeaving) + type
            when (run.fault) {
                UpstreamFault.UNFRAMED, UpstreamFault.UNFRAMED_RESET, UpstreamFault.BODY_CUT -> unframed(headers, run)
                UpstreamFault.HEAD_CUT, UpstreamFault.HEAD_RESET -> cutHead(headers, run)
                UpstreamFault.ANSWER_LOST -> pause()
                UpstreamFault.UNSIGNED_REFUSAL -> return unsignedRefusal(headers)
                else -> return complete(headers, run)
            }
            return false
        }

        /** Writes a complete answer. */
        private fun complete(
            headers: List<Header>,
            run: Run,
        ): Boolean {
            if (run.fault == UpstreamFault.SLOW) Thread.sleep(SLOW_MILLIS)
            if (run.isStream) {
                output.write(HttpWire.encode(OK, headers + ("Transfer-Encoding" to "chunked"), ByteArray(0)))
                for (event in run.body
                    .decodeToString()
                    .split("\n\n")
                    .filter { it.isNotEmpty() }) {
                    pause()
                    work(MAX_EVENTS)
                    val chunk = "$event\n\n"
                    output.write("${chunk.length.toString(HEXADECIMAL)}\r\n$chunk\r\n".encodeToByteArray())
                }
                run.isWritten = true
                output.write("0\r\n\r\n".encodeToByteArray())
            } else {
                work(parts = 1)
                run.isWritten = true
                output.write(framed(headers, run))
            }
            if (run.fault == UpstreamFault.ANSWER_TWICE) output.write(framed(headers, run))
            if (run.fault == UpstreamFault.ANSWER_TWICE_LATE) repeated = framed(headers, run)
            return run.fault != UpstreamFault.IDLE_CLOSE
        }

        private fun framed(
            headers: List<Header>,
            run: Run,
        ) = HttpWire.encode(OK, headers + ("Content-Length" to run.body.size.toString()), run.body)

        /** Writes an answer, or a part of one, that ends with the connection. */
        private fun unframed(
            headers: List<Header>,
            run: Run,
        ) {
            pause()
            val isWhole = run.fault == UpstreamFault.UNFRAMED
            // Four bytes before its end, a stream is inside an event.
            val part = if (isWhole) run.body.size else run.body.size - CUT_BYTES
            val isFramed = run.fault == UpstreamFault.BODY_CUT && !run.isStream
            val length = if (isFramed) listOf("Content-Length" to run.body.size.toString()) else emptyList()
            run.isWritten = isWhole
            output.write(HttpWire.encode(OK, headers + length, run.body.copyOf(part)))
            if (run.fault == UpstreamFault.UNFRAMED_RESET) reset()
        }

        private fun cutHead(
            headers: List<Header>,
            run: Run,
        ) {
            pause()
            val whole = HttpWire.encode(OK, headers + ("Content-Length" to "0"), ByteArray(0))
            output.write(whole.copyOf(synchronized(random) { 1 + random.nextInt(whole.size - 1) }))
            if (run.fault == UpstreamFault.HEAD_RESET) reset()
        }

        private fun unsignedRefusal(headers: List<Header>): Boolean {
            pause()
            val status = synchronized(random) { CallKind.PROMISES.filter { it != MISDIRECTED }.random(random) }
            output.write(HttpWire.encode("HTTP/1.1 $status Ran", headers + ("Content-Length" to "0"), ByteArray(0)))
            return true
        }

        /** Lets the bytes written so far arrive, and resets the connection. */
        private fun reset() {
            output.flush()
            Thread.sleep(RESET_DELAY_MILLIS)
            reset(socket)
        }

        /** Works for one of [parts] of a call. */
        private fun work(parts: Int) =
            Thread.sleep(synchronized(random) { random.nextLong(1 + limits.work.inWholeMilliseconds / parts) })

        private fun pause() = Thread.sleep(synchronized(random) { random.nextLong(MAX_PAUSE_MILLIS) })
    }

    companion object {
        private const val BACKLOG = 256
        private val POLL_INTERVAL = 5.milliseconds

        /** The time for calls that are late because the machine is busy. */
        private val LEAVING_TIME = 2.seconds
        private const val HEXADECIMAL = 16
        const val MAX_EVENTS = 12
        private const val SMALL_BYTES = 4_000
        private const val LARGE_BYTES = 600_000
        private const val LARGE_ONE_IN = 20
        private const val CUT_BYTES = 4
        private const val MAX_PAUSE_MILLIS = 30L
        private const val SLOW_MILLIS = 1_200L
        private const val RESET_DELAY_MILLIS = 20L
        private const val OK = "HTTP/1.1 200 OK"
        private const val BAD_REQUEST = 400
        private const val MISDIRECTED = 421
        private const val UNAVAILABLE = 503
    }
}
