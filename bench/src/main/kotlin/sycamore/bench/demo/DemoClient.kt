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

/** A request that got no successful response, even after retries where these were allowed. */
internal class RequestException(
    message: String,
) : Exception(message)

/**
 * A caller of [deployment] that uses its entries in rotation and retries calls that were not run, up to a time limit.
 *
 * A request that may have run is retried only if it has an idempotency key.
 */
internal class DemoClient(
    private val deployment: Deployment,
    private val http: HttpHandler,
) {
    private val nextEntry = AtomicInteger()
    private val repeated = AtomicInteger()

    /** The number of retries. */
    val repeats: Int get() = repeated.get()

    /** Sends a request, with retries, until its response has a status below 400. */
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
            val isFinal = response != null && !isRetryable(response, headers)
            if (isFinal || start.elapsedNow() > RETRY_LIMIT) throw RequestException(describe(method, path, response))
            repeated.incrementAndGet()
            delay(response?.header("retry-after")?.toLongOrNull()?.seconds ?: RETRY_PAUSE)
        }
    }

    /** Returns the response with its complete body, or null if the connection failed. */
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

    private fun isRetryable(
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
        "$method $path: ${response?.let { "status ${it.status.code}: ${it.bodyString()}" } ?: "connection failed"}"

    companion object {
        /** The request header that identifies a call, so that its repeats are recognized. */
        const val IDEMPOTENCY_KEY = "idempotency-key"

        private const val CLIENT_ERROR = 400
        private const val TOO_MANY = 429
        private const val SERVER_ERROR = 500

        /** How long after its first attempt a request may be retried. */
        private val RETRY_LIMIT = 25.seconds

        /** The pause before a retry if the response has no `retry-after` header. */
        private val RETRY_PAUSE = 200.milliseconds
    }
}
