package sycamore.daemon.log

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.encoder.EncoderBase
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Encodes each log event as one line of JSON.
 *
 * Every line has the fields `time`, `level`, `host`, `generation`, `epoch`, `program`, `call`, `logger` and `message`,
 * null where they do not apply unless [omitNulls] is set; `error` holds a stack trace. The key-value pairs of an event
 * override the properties that [LogContext] sets for the whole process.
 */
class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    /** Whether fields that do not apply are omitted instead of null. */
    var omitNulls: Boolean = false

    override fun headerBytes(): ByteArray? = null

    override fun footerBytes(): ByteArray? = null

    override fun encode(event: ILoggingEvent): ByteArray =
        (JsonObject(fields(event)).toString() + "\n").encodeToByteArray()

    private fun fields(event: ILoggingEvent): Map<String, JsonPrimitive> =
        buildMap {
            put("time", JsonPrimitive(event.instant.toString()))
            put("level", JsonPrimitive(event.level.toString()))
            contextFields.forEach { name ->
                val value = property(event, name)
                if (!omitNulls || value != JsonNull) put(name, value)
            }
            put("logger", JsonPrimitive(event.loggerName))
            put("message", JsonPrimitive(event.formattedMessage))
            event.keyValuePairs.orEmpty().forEach { pair -> pair.value?.let { put(pair.key, primitive(it)) } }
            event.throwableProxy?.let { put("error", JsonPrimitive(ThrowableProxyUtil.asString(it))) }
        }

    private fun property(
        event: ILoggingEvent,
        name: String,
    ): JsonPrimitive = event.loggerContextVO.propertyMap[name]?.let(::JsonPrimitive) ?: JsonNull

    private fun primitive(value: Any): JsonPrimitive =
        when (value) {
            is Number -> JsonPrimitive(value)
            is Boolean -> JsonPrimitive(value)
            else -> JsonPrimitive(value.toString())
        }

    private companion object {
        val contextFields =
            listOf(LogContext.HOST, LogContext.GENERATION, LogContext.EPOCH, LogContext.PROGRAM, LogContext.CALL)
    }
}
