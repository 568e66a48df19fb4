package sycamore.daemon

import sycamore.model.TomlReader
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Upper bounds of the requests and connections that an HTTP server accepts.
 *
 * @property bodyBytes the maximum size of a request's body.
 * @property headerBytes the maximum size of a request's line and headers together.
 * @property connections the maximum number of open connections; requests on further ones are refused.
 * @property requests the maximum number of requests in progress; further ones are refused.
 * @property idleTimeout the time without traffic, between requests or within one, after which a connection is closed.
 */
data class HttpLimits(
    val bodyBytes: Long = 4L shl 20,
    val headerBytes: Long = 16L shl 10,
    val connections: Int = 2_000,
    val requests: Int = 400,
    val idleTimeout: Duration = 60.seconds,
) {
    companion object {
        private const val MAX_BODY_BYTES = 7L shl 20
        private const val MAX_HEADER_BYTES = 1L shl 20
        private const val MAX_CONNECTIONS = 100_000L
        private const val MAX_REQUESTS = 10_000L

        /** Reads the table `[limits]`. */
        internal fun from(reader: TomlReader): HttpLimits {
            val defaults = HttpLimits()
            return HttpLimits(
                bodyBytes = size(reader, "body", defaults.bodyBytes, MAX_BODY_BYTES),
                headerBytes = size(reader, "headers", defaults.headerBytes, MAX_HEADER_BYTES),
                connections = count(reader, "connections", defaults.connections, MAX_CONNECTIONS),
                requests = count(reader, "requests", defaults.requests, MAX_REQUESTS),
                idleTimeout = reader.duration("idle", defaults.idleTimeout),
            )
        }

        private fun size(
            reader: TomlReader,
            key: String,
            default: Long,
            max: Long,
        ): Long {
            val size = reader.size(key, default)
            if (size !in 1..max) reader.report(key, "$size bytes", "1 to $max bytes for 'limits.$key'")
            return size
        }

        private fun count(
            reader: TomlReader,
            key: String,
            default: Int,
            max: Long,
        ): Int = reader.long(key, default.toLong(), 1..max).toInt()
    }
}
