package sycamore.daemon

import sycamore.model.Configuration
import sycamore.services.wireJson
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Encodes configurations as compressed JSON, for the key-value service. */
object ConfigurationCodec {
    /** Largest JSON that is accepted, in bytes. */
    private const val MAX_TEXT_BYTES = 32 * 1024 * 1024

    private const val GZIP_MAGIC = 0x1f.toByte()

    /** [configuration] as compressed JSON. */
    fun encode(configuration: Configuration): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(text(configuration).encodeToByteArray()) }
        return bytes.toByteArray()
    }

    /** The configuration in [bytes], compressed or plain. Fails with [IllegalArgumentException] on anything else. */
    fun decode(bytes: ByteArray): Configuration = parse(if (isCompressed(bytes)) expand(bytes) else bytes)

    /** The configuration in [bytes], or null when they hold anything else. */
    fun decodeOrNull(bytes: ByteArray): Configuration? =
        try {
            decode(bytes)
        } catch (_: IllegalArgumentException) {
            null
        }

    /** [configuration] as JSON. */
    fun text(configuration: Configuration): String = wireJson.encodeToString(configuration)

    private fun parse(bytes: ByteArray): Configuration = wireJson.decodeFromString(bytes.decodeToString())

    private fun isCompressed(bytes: ByteArray) = bytes.isNotEmpty() && bytes[0] == GZIP_MAGIC

    private fun expand(bytes: ByteArray): ByteArray =
        try {
            val text = GZIPInputStream(bytes.inputStream()).use { it.readNBytes(MAX_TEXT_BYTES + 1) }
            require(text.size <= MAX_TEXT_BYTES) { "expected at most $MAX_TEXT_BYTES bytes of JSON, found more" }
            text
        } catch (e: IOException) {
            throw IllegalArgumentException("expected compressed JSON, found ${e.message}", e)
        }
}
