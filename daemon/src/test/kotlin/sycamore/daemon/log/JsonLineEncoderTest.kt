package sycamore.daemon.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import org.slf4j.event.KeyValuePair
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against log lines that tools cannot parse or correlate: missing context fields, values of the process that
 * hide those of the event, and stack traces that span several lines.
 */
class JsonLineEncoderTest {
    private val context = LoggerContext()

    private fun line(
        message: String,
        error: Throwable? = null,
        pairs: Map<String, Any> = emptyMap(),
    ): String {
        val logger = context.getLogger("sycamore.Test")
        val event = LoggingEvent("test", logger, Level.INFO, message, error, null)
        event.setInstant(Instant.ofEpochSecond(0))
        pairs.forEach { (key, value) -> event.addKeyValuePair(KeyValuePair(key, value)) }
        return JsonLineEncoder().encode(event).decodeToString()
    }

    @Test
    fun `every line has the fields program, call, epoch and generation`() {
        assertEquals(
            """{"time":"1970-01-01T00:00:00Z","level":"INFO","host":null,"generation":null,"epoch":null,""" +
                """"program":null,"call":null,"logger":"sycamore.Test","message":"a \"b\""}""" + "\n",
            line("a \"b\""),
        )
    }

    @Test
    fun `fields of the event override those of the process`() {
        context.putProperty("generation", "4")
        context.putProperty("epoch", "1")
        val line = line("m", pairs = mapOf("epoch" to 2L, "call" to "c1", "millis" to 5))
        assertEquals(
            """{"time":"1970-01-01T00:00:00Z","level":"INFO","host":null,"generation":"4","epoch":2,""" +
                """"program":null,"call":"c1","logger":"sycamore.Test","message":"m","millis":5}""" + "\n",
            line,
        )
    }

    @Test
    fun `fields that do not apply can be omitted`() {
        val logger = context.getLogger("sycamore.Test")
        val event = LoggingEvent("test", logger, Level.INFO, "started", null, null)
        event.setInstant(Instant.ofEpochSecond(0))
        event.addKeyValuePair(KeyValuePair("request", "r1"))
        val line = JsonLineEncoder().apply { omitNulls = true }.encode(event).decodeToString()
        assertEquals(
            """{"time":"1970-01-01T00:00:00Z","level":"INFO","logger":"sycamore.Test",""" +
                """"message":"started","request":"r1"}""" + "\n",
            line,
        )
    }

    @Test
    fun `a stack trace is written on the same line`() {
        val line = line("m", IllegalStateException("broken"))
        assertTrue("\"error\":\"java.lang.IllegalStateException: broken" in line, line)
        assertEquals(1, line.count { it == '\n' })
    }
}
