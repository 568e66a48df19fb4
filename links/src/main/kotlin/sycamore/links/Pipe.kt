package sycamore.links

/** A bidirectional connection to a peer that carries frames. It allows one reader and one writer at a time. */
internal interface Pipe {
    /** Reads one frame of at most [maxBytes] bytes. Throws an exception once either end has closed the pipe. */
    suspend fun read(maxBytes: Int): ByteArray

    /**
     * Queues one frame and writes as much of the queue as is possible without waiting. Returns false if [flush] has to
     * write the rest.
     */
    fun enqueue(frame: ByteArray): Boolean

    /** Suspends until all enqueued frames are written. */
    suspend fun flush()

    /** Closes both directions at once. A suspended [read] or [flush] fails. */
    fun close()

    companion object {
        /** Size of the length that precedes each frame. */
        const val LENGTH_BYTES = 4
    }
}

/** Writes one frame, and suspends until it is written. */
internal suspend fun Pipe.write(frame: ByteArray) {
    if (!enqueue(frame)) flush()
}
