package sycamore.turns

import java.io.ByteArrayOutputStream

/**
 * Incremental reader of a stream of server-sent events. It keeps the part that a program's next prompt repeats: the
 * data of each event, followed by a line feed.
 */
class EventReader {
    private val line = ByteArrayOutputStream()
    private val data = ByteArrayOutputStream()
    private val kept = ByteArrayOutputStream()
    private val boundary = EventBoundary()
    private var hasData = false

    /** Number of complete events so far. */
    var events = 0
        private set

    /** Number of buffered bytes: data of the complete events, and the received part of the next event. */
    val size: Int get() = kept.size() + data.size() + line.size()

    /** Whether the last byte ended an event. */
    val isBetweenEvents: Boolean get() = boundary.isBetweenEvents

    /** Data of the complete events so far, each followed by a line feed. */
    val output: ByteArray get() = kept.toByteArray()

    /** Reads the next [bytes] of the stream. */
    fun read(bytes: ByteArray) {
        boundary.read(bytes)
        for (byte in bytes) {
            if (byte == LINE_FEED) endLine() else line.write(byte.toInt())
        }
    }

    private fun endLine() {
        val text = line.toByteArray().let { if (it.lastOrNull() == CARRIAGE_RETURN) it.copyOf(it.size - 1) else it }
        line.reset()
        if (text.isEmpty()) {
            endEvent()
            return
        }
        dataOf(text)?.let { value ->
            if (hasData) data.write(LINE_FEED.toInt())
            data.write(value)
            hasData = true
        }
    }

    private fun dataOf(text: ByteArray): ByteArray? {
        if (text.size < DATA_FIELD.size || DATA_FIELD.indices.any { text[it] != DATA_FIELD[it] }) return null
        if (text.size == DATA_FIELD.size) return ByteArray(0)
        if (text[DATA_FIELD.size] != COLON) return null
        val from = DATA_FIELD.size + 1
        return text.copyOfRange(if (text.getOrNull(from) == SPACE) from + 1 else from, text.size)
    }

    private fun endEvent() {
        if (hasData) {
            kept.write(data.toByteArray())
            kept.write(LINE_FEED.toInt())
            events++
        }
        data.reset()
        hasData = false
    }

    private companion object {
        val DATA_FIELD = "data".encodeToByteArray()
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        const val SPACE = ' '.code.toByte()
    }
}
