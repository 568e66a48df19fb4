package sycamore.turns

import java.io.ByteArrayOutputStream

/** Thrown when the events that continue a stream do not follow those before them. */
class BrokenSequenceException(
    message: String,
) : Exception(message)

/**
 * The events of one stream that several upstreams answer in turn. Only complete events are passed on, so that the next upstream can
 * continue after the last of them.
 */
class ResumableStream {
    private val splitter = EventSplitter()
    private var hasUnnumbered = false

    /** The id of the last complete event with data; null if there was none. */
    var lastId: Long? = null
        private set

    /** Whether another upstream can continue the stream: each event so far has an id that is a number. */
    val isResumable: Boolean get() = !hasUnnumbered

    /** Whether the last byte ended an event. */
    val isBetweenEvents: Boolean get() = splitter.isBetweenEvents

    /** The number of bytes that follow the last complete event. */
    val restSize: Int get() = splitter.restSize

    /** The bytes that follow the last complete event of a stream that has ended. */
    val rest: ByteArray get() = splitter.rest

    /**
     * Reads the next [bytes] and returns those of the events that are complete by them. Fails with [BrokenSequenceException] at
     * an event whose id is not above that of the event before it.
     */
    fun read(bytes: ByteArray): ByteArray {
        val complete = ByteArrayOutputStream()
        for (event in splitter.read(bytes)) {
            check(event)
            complete.write(event.bytes)
        }
        return complete.toByteArray()
    }

    private fun check(event: StreamEvent) {
        if (!event.hasData) return
        val id = event.id?.toLongOrNull()
        val last = lastId
        when {
            id == null -> hasUnnumbered = true
            last != null && id <= last -> throw BrokenSequenceException("event $id follows event $last")
            else -> lastId = id
        }
    }

    /** Drops the part of an event at which an upstream broke off. */
    fun dropRest() = splitter.dropRest()
}
