package sycamore.links

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.CancelledKeyException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean

private val log = KotlinLogging.logger {}

/**
 * Handles the events of a channel that is registered with a [LinkLoop]. Called on the loop's thread, so it must not
 * block.
 */
internal fun interface ChannelEvents {
    /** Called when the channel of [key] is ready. [buffer] is empty, and may be used until this function returns. */
    fun ready(
        key: SelectionKey,
        buffer: ByteBuffer,
    )
}

/**
 * The event loop of all links of a process: one thread with a selector.
 *
 * This thread reads from the sockets. The sender's thread writes to them as long as the socket buffer has room, so that
 * a message costs one change of threads.
 */
internal class LinkLoop private constructor() {
    private val selector = Selector.open()
    private val tasks = ConcurrentLinkedQueue<() -> Unit>()
    private val isWakeupPending = AtomicBoolean()
    private val buffer = ByteBuffer.allocateDirect(BUFFER_BYTES)
    private val thread = Thread(::run, "link-loop").apply { isDaemon = true }

    init {
        thread.start()
    }

    /** Registers [channel] for the operations in [interest]. [onRegistered] runs on the loop's thread. */
    fun register(
        channel: SelectableChannel,
        interest: Int,
        events: ChannelEvents,
        onRegistered: (SelectionKey) -> Unit = {},
    ) {
        channel.configureBlocking(false)
        execute { onRegistered(channel.register(selector, interest, events)) }
    }

    /** Adds operations to the interest set of [key], and removes others from it. */
    fun changeOps(
        key: SelectionKey,
        add: Int = 0,
        remove: Int = 0,
    ) = execute { key.interestOps((key.interestOps() or add) and remove.inv()) }

    /** Runs [task] on the loop's thread: at once if called there, else after its current round. */
    fun execute(task: () -> Unit) {
        if (Thread.currentThread() === thread) return runSafely(task)
        tasks += task
        if (isWakeupPending.compareAndSet(false, true)) selector.wakeup()
    }

    private fun run() {
        while (true) {
            selector.select()
            isWakeupPending.set(false)
            while (true) runSafely(tasks.poll() ?: break)
            val ready = selector.selectedKeys()
            ready.forEach { key -> runSafely { (key.attachment() as ChannelEvents).ready(key, buffer.clear()) } }
            ready.clear()
        }
    }

    private fun runSafely(task: () -> Unit) {
        try {
            task()
        } catch (_: CancelledKeyException) {
            // The channel was closed meanwhile, which its pipe reports to its reader.
        } catch (e: IOException) {
            log.debug { "I/O error on a link: ${e.message}" }
        } catch (e: RuntimeException) {
            log.error(e) { "unexpected failure in the event loop of the links" }
        }
    }

    companion object {
        /** The loop that all links of this process use. */
        val shared: LinkLoop by lazy { LinkLoop() }

        /** Maximum number of bytes that are read from one link before the next one has its turn. */
        private const val BUFFER_BYTES = 64 * 1024
    }
}
