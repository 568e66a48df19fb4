package sycamore.bench.demo

import kotlinx.coroutines.delay
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A request was not answered as it asked. */
internal class NotAnsweredException(
    message: String,
) : Exception(message)

/**
 * A caller of [deployment]: goes by its entries in turn, and repeats what did not run for as long as is worthwhile.
 *
 * A request that may have run is repeated only under its idempotency key.
 */
internal class DemoClient(
    private val deployment: Deployment,
    private val http: HttpHandler,
) {
    private val nextEntry = AtomicInteger()
    private val repeated = AtomicInteger()

    /** How many requests were repeated. */
    val repeats: Int get() = repeated.get()

    /** Sends a request until it is answered with a status below 400. */
    suspend fun send(
        method: Method,
        path: String,
        headers: Map<String, String> = emptyMap(),
        body: String = "",
    ): Response {
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            val response = attempt(method, path, headers, body)
            if (response != null && response.status.code < CLIENT_ERROR) return response
            val isFinal = response != null && !isWorthRepeating(response, headers)
            if (isFinal || start.elapsedNow() > PATIENCE) throw NotAnsweredException(describe(method, path, response))
            repeated.incrementAndGet()
            delay(response?.header("retry-after")?.toLongOrNull()?.seconds ?: PAUSE)
        }
    }

    /** The response with its whole body, or null when the connection broke. */
    private fun attempt(
        method: Method,
        path: String,
        headers: Map<String, String>,
        body: String,
    ): Response? {
        val entries = deployment.layout.entries
        val entry = entries[nextEntry.getAndIncrement() % entries.size]
        val request =
            Request(method, "http://$entry$path")
                .header("authorization", "Bearer ${deployment.key}")
                .header("content-type", "application/json")
                .headers(headers.toList())
                .body(body)
        return try {
            val response = http(request)
            response.body(MemoryBody(response.body.stream.use { it.readBytes() }))
        } catch (_: IOException) {
            null
        }
    }

    private fun isWorthRepeating(
        response: Response,
        headers: Map<String, String>,
    ): Boolean =
        when (response.header("sycamore-outcome")) {
            "not-run" -> response.status.code == TOO_MANY || response.status.code >= SERVER_ERROR
            "unknown" -> IDEMPOTENCY_KEY in headers
            else -> false
        }

    private fun describe(
        method: Method,
        path: String,
        response: Response?,
    ): String =
        "$method $path: ${response?.let { "status ${it.status.code}: ${it.bodyString()}" } ?: "connection broke"}"

    companion object {
        /** Names a call, so that its repeats are known. */
        const val IDEMPOTENCY_KEY = "idempotency-key"

        private const val CLIENT_ERROR = 400
        private const val TOO_MANY = 429
        private const val SERVER_ERROR = 500
        private val PATIENCE = 25.seconds
        private val PAUSE = 200.milliseconds
    }
}
