package sycamore.links

import java.util.concurrent.atomic.LongAdder

/** Counts the bytes of frames and their lengths, without the overhead of TCP and IP. */
class LinkTraffic {
    private val sent = LongAdder()
    private val received = LongAdder()

    /** The number of bytes sent. */
    val sentBytes: Long get() = sent.sum()

    /** The number of bytes received. */
    val receivedBytes: Long get() = received.sum()

    internal fun addSent(bytes: Int) = sent.add(bytes.toLong())

    internal fun addReceived(bytes: Int) = received.add(bytes.toLong())
}
