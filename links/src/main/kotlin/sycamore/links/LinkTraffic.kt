package sycamore.links

import java.util.concurrent.atomic.LongAdder

/** Counts the bytes of frames, without those of TCP and IP. */
class LinkTraffic {
    private val out = LongAdder()
    private val into = LongAdder()

    /** Bytes sent. */
    val sent: Long get() = out.sum()

    /** Bytes received. */
    val received: Long get() = into.sum()

    internal fun sent(bytes: Int) = out.add(bytes.toLong())

    internal fun received(bytes: Int) = into.add(bytes.toLong())
}
