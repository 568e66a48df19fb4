package sycamore.links

/** Two byte streams to one peer, cut into frames. One reader and one writer at a time. */
internal interface Pipe {
    /** Reads one frame of at most [limit] bytes. Fails with an exception once either end has closed the pipe. */
    suspend fun read(limit: Int): ByteArray

    /** Writes one frame behind what is left, as far as that goes at once; false if [drain] has to write the rest. */
    fun put(frame: ByteArray): Boolean

    /** Returns once all of what was [put] has left. */
    suspend fun drain()

    /** Ends both directions at once. A [read] and a [drain] that wait fail. */
    fun close()

    companion object {
        /** Before each frame stands its length. */
        const val LENGTH_BYTES = 4
    }
}

/** Writes one frame and sends it off. */
internal suspend fun Pipe.write(frame: ByteArray) {
    if (!put(frame)) drain()
}
