package sycamore.links

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Times and sizes that a link keeps to. Both ends of a fleet's links use the same.
 *
 * @property handshake until both ends have proved themselves.
 * @property activePing pause between heartbeats while exchanges are in progress.
 * @property activeSilence after which a connection with exchanges in progress is dropped.
 * @property idlePing pause between heartbeats otherwise.
 * @property idleSilence after which a connection without exchanges is dropped.
 * @property idleClose after which the dialling side closes a connection that it does not use.
 * @property write how long one frame may take to be written before the peer counts as stuck.
 * @property window replies of one exchange that may be under way to a receiver that does not take them.
 * @property frameBytes largest frame.
 * @property exchanges in progress on one connection that was accepted.
 * @property connections accepted at once.
 */
data class LinkBounds(
    val handshake: Duration = 5.seconds,
    val activePing: Duration = 2.seconds,
    val activeSilence: Duration = 6.seconds,
    val idlePing: Duration = 15.seconds,
    val idleSilence: Duration = 45.seconds,
    val idleClose: Duration = 60.seconds,
    val write: Duration = 10.seconds,
    val window: Int = 64,
    val frameBytes: Int = 8 * 1024 * 1024,
    val exchanges: Int = 4_096,
    val connections: Int = 8_192,
)
