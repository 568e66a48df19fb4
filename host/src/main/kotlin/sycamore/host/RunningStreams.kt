package sycamore.host

import sycamore.links.Message
import sycamore.model.CallId
import java.util.concurrent.ConcurrentHashMap

/** The answer streams of the calls in progress at a home. */
internal class RunningStreams {
    private val streams = ConcurrentHashMap<CallId, AnswerStream>()

    /** Returns the answer of [call], or null if it is not in progress. */
    fun find(call: CallId): AnswerStream? = streams[call]

    /** Adds the answer [stream] of [call], which begins. */
    fun add(
        call: CallId,
        stream: AnswerStream,
    ) {
        streams[call] = stream
    }

    /** Ends each answer with the message that [finalMessage] returns for its call. */
    fun endAll(finalMessage: (CallId) -> Message) {
        streams.forEach { (call, stream) -> stream.end(finalMessage(call)) }
    }

    /** Removes the answer of [call], which has ended. */
    fun remove(call: CallId) {
        streams.remove(call)
    }
}
