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

/** What happens at a channel that a [LinkLoop] watches. Called on the loop's thread, which must not block. */
internal fun interface ChannelEvents {
    /** The channel of [key] is ready. [buffer] is empty, and free for use until this returns. */
    fun ready(
        key: SelectionKey,
        buffer: ByteBuffer,
    )
}

/**
 * One thread that waits for all links of a process at once.
 *
 * Bytes are read on this thread, and written on that of the sender as long as the socket takes them, so that a message costs one
 * change of threads.
 */
internal class LinkLoop private constructor() {
    private val selector = Selector.open()
    private val tasks = ConcurrentLinkedQueue<() -> Unit>()
    private val isWoken = AtomicBoolean()
    private val buffer = ByteBuffer.allocateDirect(BUFFER_BYTES)
    private val thread = Thread(::run, "link-loop").apply { isDaemon = true }

    init {
        thread.start()
    }

    /** Watches [channel] for [interest] from now on. */
    fun register(
        channel: SelectableChannel,
        interest: Int,
        events: ChannelEvents,
        onRegistered: (SelectionKey) -> Unit = {},
    ) {
        channel.configureBlocking(false)
        execute { onRegistered(channel.register(selector, interest, events)) }
    }

    /** Changes what [key] is watched for: [added] too, and [removed] no more. */
    fun change(
        key: SelectionKey,
        added: Int = 0,
        removed: Int = 0,
    ) = execute { key.interestOps((key.interestOps() or added) and removed.inv()) }

    /** Runs [task] on the loop's thread, soon. */
    fun execute(task: () -> Unit) {
        if (Thread.currentThread() === thread) return attempt(task)
        tasks += task
        if (isWoken.compareAndSet(false, true)) selector.wakeup()
    }

    private fun run() {
        while (true) {
            selector.select()
            isWoken.set(false)
            while (true) attempt(tasks.poll() ?: break)
            val ready = selector.selectedKeys()
            ready.forEach { key -> attempt { (key.attachment() as ChannelEvents).ready(key, buffer.clear()) } }
            ready.clear()
        }
    }

    private fun attempt(task: () -> Unit) {
        try {
            task()
        } catch (_: CancelledKeyException) {
            // The channel was closed meanwhile; who reads it is told.
        } catch (e: IOException) {
            log.debug { "a channel of a link failed: ${e.message}" }
        } catch (e: RuntimeException) {
            log.error(e) { "the loop of links failed at one channel" }
        }
    }

    companion object {
        /** The loop of this process. */
        val shared: LinkLoop by lazy { LinkLoop() }

        /** Most that is read from one link before others are looked at. */
        private const val BUFFER_BYTES = 64 * 1024
    }
}
