package sycamore.turns

import java.io.ByteArrayOutputStream

/**
 * A complete event of a stream of server-sent events.
 *
 * @property bytes the bytes of the event, up to and including its end.
 * @property id the id that it sets; null if it sets none.
 * @property hasData whether it has data. One without may be a comment that keeps the connection open.
 */
class StreamEvent(
    val bytes: ByteArray,
    val id: String?,
    val hasData: Boolean,
)

/** Splits a stream of server-sent events into its events. */
class EventSplitter {
    private val open = ByteArrayOutputStream()
    private val line = ByteArrayOutputStream()
    private var id: String? = null
    private var hasData = false
    private var hasText = false

    /** The bytes that follow the last complete event. */
    val rest: ByteArray get() = open.toByteArray()

    /** The number of bytes that follow the last complete event. */
    val restSize: Int get() = open.size()

    /** Whether the last byte ended an event. */
    val isBetweenEvents: Boolean get() = !hasText && line.size() == 0

    /** Reads the next [bytes] of the stream. Returns the events that are complete by them. */
    fun read(bytes: ByteArray): List<StreamEvent> {
        val complete = ArrayList<StreamEvent>()
        for (byte in bytes) {
            open.write(byte.toInt())
            if (byte == LINE_FEED) endLine()?.let(complete::add) else line.write(byte.toInt())
        }
        return complete
    }

    /** Drops the bytes that follow the last complete event. */
    fun dropRest() {
        open.reset()
        line.reset()
        id = null
        hasData = false
        hasText = false
    }

    private fun endLine(): StreamEvent? {
        val text = line.toByteArray().decodeToString().removeSuffix("\r")
        line.reset()
        if (text.isNotEmpty()) {
            hasText = true
            if (text.startsWith(ID)) id = text.removePrefix(ID).trim()
            if (text.startsWith(DATA)) hasData = true
            return null
        }
        if (!hasText) return null
        return StreamEvent(rest, id, hasData).also { dropRest() }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val ID = "id:"
        const val DATA = "data:"
    }
}
