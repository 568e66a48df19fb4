package sycamore.homes

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the memory of the answers that a daemon is receiving for its programs, so that answers without an end do not use up its heap.
 *
 * @param maxBytes the size that all answers together may have, in bytes.
 */
internal class AnswerMemory(
    private val maxBytes: Long,
) {
    private val total = AtomicLong()
    private val count = AtomicInteger()

    /** Begins an answer, which takes memory until it is closed. */
    fun open(): Answer = Answer().also { count.incrementAndGet() }

    /** An answer that is being received. Not thread-safe. */
    inner class Answer : AutoCloseable {
        private var size = 0L

        /**
         * Records that the answer has [bytes] bytes by now. Returns false if it has to be aborted: all answers together are too
         * large, and this one is not smaller than their average.
         */
        fun resize(bytes: Int): Boolean {
            val all = total.addAndGet(bytes - size)
            size = bytes.toLong()
            return all <= maxBytes || size * count.get() < all
        }

        override fun close() {
            total.addAndGet(-size)
            size = 0
            count.decrementAndGet()
        }
    }
}
