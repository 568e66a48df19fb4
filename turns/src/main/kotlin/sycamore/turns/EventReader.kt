package sycamore.turns

import java.io.ByteArrayOutputStream

/**
 * Reads a stream of server-sent events piece by piece and keeps what a program's next prompt repeats of it: the data of
 * each event, followed by a line feed.
 */
class EventReader {
    private val line = ByteArrayOutputStream()
    private val data = ByteArrayOutputStream()
    private val kept = ByteArrayOutputStream()
    private var hasData = false
    private var isEventOpen = false

    /** Whole events so far. */
    var events = 0
        private set

    /** Bytes that are held: data of the whole events, and what came of the next one. */
    val size: Int get() = kept.size() + data.size() + line.size()

    /** Whether the last byte ended an event. */
    val isBetweenEvents: Boolean get() = !isEventOpen && line.size() == 0

    /** Data of the whole events so far, each followed by a line feed. */
    val output: ByteArray get() = kept.toByteArray()

    /** Takes the next [bytes]. */
    fun read(bytes: ByteArray) {
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
        isEventOpen = true
        dataOf(text)?.let { value ->
            if (hasData) data.write(LINE_FEED.toInt())
            data.write(value)
            hasData = true
        }
    }

    private fun dataOf(text: ByteArray): ByteArray? {
        if (text.size < FIELD.size || FIELD.indices.any { text[it] != FIELD[it] }) return null
        if (text.size == FIELD.size) return ByteArray(0)
        if (text[FIELD.size] != COLON) return null
        val from = FIELD.size + 1
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
        isEventOpen = false
    }

    private companion object {
        val FIELD = "data".encodeToByteArray()
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        const val SPACE = ' '.code.toByte()
    }
}
