package sycamore.daemon

import sycamore.model.TomlReader
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Upper bounds of what an HTTP server accepts.
 *
 * @property bodyBytes length of a request's body.
 * @property headerBytes length of a request's line and headers together.
 * @property connections open connections; requests on further ones are refused.
 * @property requests requests in progress; further ones are refused.
 * @property idle how long a connection may be silent between requests or within one.
 */
data class HttpLimits(
    val bodyBytes: Long = 4L shl 20,
    val headerBytes: Long = 16L shl 10,
    val connections: Int = 2_000,
    val requests: Int = 400,
    val idle: Duration = 60.seconds,
) {
    companion object {
        private const val MAX_BODY_BYTES = 7L shl 20
        private const val MAX_HEADER_BYTES = 1L shl 20
        private const val MAX_CONNECTIONS = 100_000L
        private const val MAX_REQUESTS = 10_000L

        /** Reads the table `[limits]`. */
        internal fun from(reader: TomlReader): HttpLimits {
            val standard = HttpLimits()
            return HttpLimits(
                bodyBytes = size(reader, "body", standard.bodyBytes, MAX_BODY_BYTES),
                headerBytes = size(reader, "headers", standard.headerBytes, MAX_HEADER_BYTES),
                connections = count(reader, "connections", standard.connections, MAX_CONNECTIONS),
                requests = count(reader, "requests", standard.requests, MAX_REQUESTS),
                idle = reader.duration("idle", standard.idle),
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
