package sycamore.host

import sycamore.links.Message
import sycamore.model.CallId
import java.util.concurrent.ConcurrentHashMap

/** The answers of the calls that run at a home. */
internal class RunningStreams {
    private val streams = ConcurrentHashMap<CallId, AnswerStream>()

    /** The answer of [call] while it runs. */
    fun find(call: CallId): AnswerStream? = streams[call]

    /** [call] runs from now on. */
    fun add(
        call: CallId,
        stream: AnswerStream,
    ) {
        streams[call] = stream
    }

    /** Ends all answers by what [last] makes. */
    fun endAll(last: (CallId) -> Message) {
        streams.forEach { (call, stream) -> stream.end(last(call)) }
    }

    /** [call] has ended. */
    fun remove(call: CallId) {
        streams.remove(call)
    }
}
