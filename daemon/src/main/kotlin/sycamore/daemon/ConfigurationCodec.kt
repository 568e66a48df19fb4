package sycamore.daemon

import sycamore.model.Configuration
import sycamore.services.wireJson
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Encodes configurations as gzip-compressed JSON, for storage in the key-value service. */
object ConfigurationCodec {
    /** Upper bound of the uncompressed JSON. */
    private const val MAX_JSON_BYTES = 32 * 1024 * 1024

    private const val GZIP_MAGIC = 0x1f.toByte()

    /** Encodes [configuration] as compressed JSON. */
    fun encode(configuration: Configuration): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(toJson(configuration).encodeToByteArray()) }
        return bytes.toByteArray()
    }

    /** Decodes [bytes], either compressed or plain JSON. Throws [IllegalArgumentException] on any other content. */
    fun decode(bytes: ByteArray): Configuration = parse(if (isCompressed(bytes)) decompress(bytes) else bytes)

    /** Decodes [bytes] like [decode], but returns null if they do not hold a configuration. */
    fun decodeOrNull(bytes: ByteArray): Configuration? =
        try {
            decode(bytes)
        } catch (_: IllegalArgumentException) {
            null
        }

    /** Encodes [configuration] as plain JSON. */
    fun toJson(configuration: Configuration): String = wireJson.encodeToString(configuration)

    private fun parse(bytes: ByteArray): Configuration = wireJson.decodeFromString(bytes.decodeToString())

    private fun isCompressed(bytes: ByteArray) = bytes.isNotEmpty() && bytes[0] == GZIP_MAGIC

    private fun decompress(bytes: ByteArray): ByteArray =
        try {
            val json = GZIPInputStream(bytes.inputStream()).use { it.readNBytes(MAX_JSON_BYTES + 1) }
            require(json.size <= MAX_JSON_BYTES) { "expected at most $MAX_JSON_BYTES bytes of JSON, found more" }
            json
        } catch (e: IOException) {
            throw IllegalArgumentException("expected compressed JSON, found ${e.message}", e)
        }
}
