package sycamore.turns

/** Tracks in a stream of server-sent events whether an event is open. It keeps no part of the stream. */
class EventBoundary {
    private enum class Line { EMPTY, CARRIAGE_RETURN, TEXT }

    private var line = Line.EMPTY
    private var isEventOpen = false

    /** Number of complete events so far. */
    var events = 0
        private set

    /** Whether the last byte ended an event. A stream that ends elsewhere has been broken off. */
    val isBetweenEvents: Boolean get() = !isEventOpen && line == Line.EMPTY

    /** Reads the next [bytes] of the stream. */
    fun read(bytes: ByteArray) {
        for (byte in bytes) {
            when {
                byte == LINE_FEED -> {
                    if (isEventOpen && line != Line.TEXT) events++
                    isEventOpen = line == Line.TEXT
                    line = Line.EMPTY
                }
                byte == CARRIAGE_RETURN && line == Line.EMPTY -> line = Line.CARRIAGE_RETURN
                else -> line = Line.TEXT
            }
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
