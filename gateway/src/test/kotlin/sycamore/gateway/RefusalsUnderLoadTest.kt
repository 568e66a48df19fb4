package sycamore.gateway

import sycamore.platform.SampleDocuments
import sycamore.standins.SocketRequest
import java.io.OutputStream
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against calls that must run once and run twice, or are refused as not run and have run, while upstreams are full,
 * repeat refusals, and close or break off connections.
 */
class RefusalsUnderLoadTest {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val earlier = ConcurrentHashMap<Pair<Int, Int>, ByteArray>()
    private val gateway = SocketGateway(*Array(UPSTREAMS) { index -> { request, out -> respond(index, request, out) } })
    private val callers = Executors.newFixedThreadPool(CALLERS)

    @AfterTest
    fun stop() {
        callers.shutdownNow()
        gateway.close()
    }

    @Test
    fun `a refused call has not run, and no call runs twice`() {
        val calls = List(CALLS) { "c$it" }
        val statuses =
            callers
                .invokeAll(calls.map { id -> Callable { id to SocketGateway.status(gateway.call(id)) } })
                .associate { it.get() }
        val wrong =
            calls.filter { id ->
                val ran = runs[id]?.get() ?: 0
                ran > 1 || (ran > 0 && statuses[id] == 503)
            }
        assertEquals(emptyList(), wrong.map { "$it: ${statuses[it]} after ${runs[it]} runs" })
        // Refusals and answers both have to occur for the test to mean something.
        assertEquals(setOf(200, 502, 503), statuses.values.toSet())
    }

    private fun respond(
        upstream: Int,
        request: SocketRequest,
        out: OutputStream,
    ) {
        val random = Random("$SEED $upstream ${request.header("X-Request-Id")}".hashCode())
        val connection = upstream to request.connection
        when (random.nextInt(20)) {
            in 0..7 -> out.write(SocketGateway.refusal(request).also { earlier[connection] = it })
            8 -> repeatRefusal(connection, request, out, pauseMillis = 0)
            9 -> repeatRefusal(connection, request, out, pauseMillis = random.nextLong(10))
            10 -> {
                out.write(SocketGateway.refusal(request) + SocketGateway.refusal(request))
                earlier[connection] = SocketGateway.refusal(request)
            }
            11 -> {
                out.write(SocketGateway.refusal(request))
                out.close()
            }
            12 -> {
                out.write(SocketGateway.answer(request, 503, SampleDocuments.notRunHeader, "Connection" to "close"))
                out.close()
            }
            13 -> out.close()
            14 -> {
                run(request)
                out.close()
            }
            15 -> {
                run(request)
                out.write(SocketGateway.success(request).copyOf(PART_BYTES))
                out.close()
            }
            16 -> {
                run(request)
                out.write(SocketGateway.answer(request, 503))
            }
            else -> {
                Thread.sleep(random.nextLong(10))
                run(request)
                out.write(SocketGateway.success(request))
            }
        }
    }

    /** Writes the last refusal of the connection again, runs the call of [request] and writes its answer. */
    private fun repeatRefusal(
        connection: Pair<Int, Int>,
        request: SocketRequest,
        out: OutputStream,
        pauseMillis: Long,
    ) {
        earlier[connection]?.let(out::write)
        run(request)
        Thread.sleep(pauseMillis)
        out.write(SocketGateway.success(request))
    }

    private fun run(request: SocketRequest) {
        runs.getOrPut(request.header("X-Request-Id")) { AtomicInteger() }.incrementAndGet()
    }

    private companion object {
        const val SEED = 1
        const val UPSTREAMS = 6
        const val CALLERS = 48
        const val CALLS = 2_000

        /** The length of a part of an answer that ends within its head. */
        const val PART_BYTES = 40
    }
}
