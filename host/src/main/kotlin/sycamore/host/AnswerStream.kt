package sycamore.host

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import sycamore.links.Begun
import sycamore.links.Message
import sycamore.links.Part
import sycamore.model.CallId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The answer to one call as it comes. Any number of readers follow it, each from an offset of its own.
 *
 * @property base the offset of the first byte that is kept here.
 */
internal class AnswerStream(
    private val id: CallId,
    val base: Long = 0,
    initial: ByteArray = ByteArray(0),
) {
    private val lock = ReentrantLock()
    private val changes = MutableStateFlow(0L)
    private var buffer = initial.copyOf(maxOf(initial.size, FIRST_CAPACITY))
    private var length = initial.size
    private var begun: Begun? = null
    private var last: Message? = null

    private class Next(
        val begun: Begun?,
        val bytes: ByteArray,
        val last: Message?,
    )

    /** The offset after the last byte. */
    val end: Long get() = lock.withLock { base + length }

    /** Whether the last message is there. */
    val isEnded: Boolean get() = lock.withLock { last != null }

    /** The bytes that are there. */
    fun bytes(): ByteArray = lock.withLock { buffer.copyOf(length) }

    /** Whether the bytes that are there and [prefix] agree as far as both go. */
    fun agreesWith(prefix: ByteArray): Boolean =
        lock.withLock {
            val common = minOf(prefix.size, length)
            (0 until common).all { prefix[it] == buffer[it] }
        }

    /** The upstream began to answer; later beginnings of the same call are ignored. */
    fun begin(head: Begun) {
        change { if (begun == null) begun = head }
    }

    /** Adds [bytes] at [offset]; false when they leave a gap or differ from what is there. */
    fun append(
        offset: Long,
        bytes: ByteArray,
    ): Boolean =
        change {
            val at = (offset - base).toInt()
            if (at > length || at < 0) return@change false
            val common = minOf(length - at, bytes.size)
            if ((0 until common).any { buffer[at + it] != bytes[it] }) return@change false
            add(bytes, common)
            true
        }

    /** Ends the answer with [message], unless it has ended. */
    fun end(message: Message) {
        change { if (last == null) last = message }
    }

    /** Yields the beginning, the bytes from offset [from] on, and the last message. */
    fun follow(from: Long): Flow<Message> =
        flow {
            var offset = maxOf(from, base)
            var hasBegun = false
            while (true) {
                val seen = changes.value
                val next = next(offset)
                if (!hasBegun && next.begun != null) {
                    emit(next.begun)
                    hasBegun = true
                }
                if (next.bytes.isNotEmpty()) {
                    emit(Part(id, offset, next.bytes))
                    offset += next.bytes.size
                } else if (next.last != null) {
                    emit(next.last)
                    return@flow
                } else {
                    changes.first { it != seen }
                }
            }
        }

    private fun next(offset: Long): Next =
        lock.withLock {
            val from = (offset - base).toInt().coerceAtMost(length)
            val to = minOf(length, from + MAX_PART_BYTES)
            Next(begun, buffer.copyOfRange(from, to), last)
        }

    private fun add(
        bytes: ByteArray,
        from: Int,
    ) {
        val added = bytes.size - from
        if (length + added > buffer.size) buffer = buffer.copyOf(maxOf(length + added, 2 * buffer.size))
        bytes.copyInto(buffer, length, from)
        length += added
    }

    private fun <T> change(block: () -> T): T =
        lock.withLock {
            block().also { changes.value++ }
        }

    private companion object {
        const val FIRST_CAPACITY = 512
        const val MAX_PART_BYTES = 64 * 1024
    }
}
