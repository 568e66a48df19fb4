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
 * The answer to one call while it arrives. Any number of readers can follow it, each from its own offset.
 *
 * @property baseOffset the offset within the answer of the first byte in the buffer.
 */
internal class AnswerStream(
    private val id: CallId,
    val baseOffset: Long = 0,
    initial: ByteArray = ByteArray(0),
) {
    private val lock = ReentrantLock()
    private val changes = MutableStateFlow(0L)
    private var buffer = initial.copyOf(maxOf(initial.size, INITIAL_CAPACITY_BYTES))
    private var length = initial.size
    private var begun: Begun? = null
    private var finalMessage: Message? = null

    private class Chunk(
        val begun: Begun?,
        val bytes: ByteArray,
        val finalMessage: Message?,
    )

    /** The offset after the last byte received so far. */
    val endOffset: Long get() = lock.withLock { baseOffset + length }

    /** Whether the final message has been set. */
    val isEnded: Boolean get() = lock.withLock { finalMessage != null }

    /** The bytes received so far. */
    fun bytes(): ByteArray = lock.withLock { buffer.copyOf(length) }

    /** Whether the bytes received so far and [prefix] are equal up to the length of the shorter one. */
    fun agreesWith(prefix: ByteArray): Boolean =
        lock.withLock {
            val common = minOf(prefix.size, length)
            (0 until common).all { prefix[it] == buffer[it] }
        }

    /** Sets [head], the first reply of the upstream. A second one, from a later attempt, is ignored. */
    fun begin(head: Begun) {
        change { if (begun == null) begun = head }
    }

    /**
     * Adds [bytes] at [offset]. Returns false if that would leave a gap, or if they differ from bytes that were
     * received before.
     */
    fun append(
        offset: Long,
        bytes: ByteArray,
    ): Boolean =
        change {
            val start = (offset - baseOffset).toInt()
            if (start > length || start < 0) return@change false
            val common = minOf(length - start, bytes.size)
            if ((0 until common).any { buffer[start + it] != bytes[it] }) return@change false
            add(bytes, common)
            true
        }

    /** Ends the answer with [message], unless it has ended already. */
    fun end(message: Message) {
        change { if (finalMessage == null) finalMessage = message }
    }

    /** Emits the first reply, then the bytes from offset [from] on, then the final message. */
    fun follow(from: Long): Flow<Message> =
        flow {
            var offset = maxOf(from, baseOffset)
            var hasBegun = false
            while (true) {
                val seen = changes.value
                val chunk = chunkAt(offset)
                if (!hasBegun && chunk.begun != null) {
                    emit(chunk.begun)
                    hasBegun = true
                }
                if (chunk.bytes.isNotEmpty()) {
                    emit(Part(id, offset, chunk.bytes))
                    offset += chunk.bytes.size
                } else if (chunk.finalMessage != null) {
                    emit(chunk.finalMessage)
                    return@flow
                } else {
                    changes.first { it != seen }
                }
            }
        }

    private fun chunkAt(offset: Long): Chunk =
        lock.withLock {
            val from = (offset - baseOffset).toInt().coerceAtMost(length)
            val to = minOf(length, from + MAX_PART_BYTES)
            Chunk(begun, buffer.copyOfRange(from, to), finalMessage)
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
        const val INITIAL_CAPACITY_BYTES = 512
        const val MAX_PART_BYTES = 64 * 1024
    }
}
