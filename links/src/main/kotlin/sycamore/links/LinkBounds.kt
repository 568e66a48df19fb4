package sycamore.links

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The time-outs and limits of a link. All daemons of a fleet use the same ones.
 *
 * @property handshakeTimeout the time after which a connection without a completed handshake is closed.
 * @property activePingInterval the time between heartbeats while exchanges are in progress.
 * @property activeReceiveTimeout the time without any received frame after which a connection with exchanges in
 * progress is closed.
 * @property idlePingInterval the time between heartbeats on a connection without exchanges.
 * @property idleReceiveTimeout the time without any received frame after which a connection without exchanges is
 * closed.
 * @property unusedTimeout the time without exchanges after which the dialling end closes a connection.
 * @property write the time after which a connection is closed if the peer does not accept the frames being written.
 * @property window the number of replies of one exchange that may be sent before the receiver has consumed them.
 * @property maxFrameBytes the size of the largest frame.
 * @property maxExchanges the number of exchanges that may be in progress on one accepted connection.
 * @property maxConnections the number of accepted connections that may be open at once.
 */
data class LinkBounds(
    val handshakeTimeout: Duration = 5.seconds,
    val activePingInterval: Duration = 2.seconds,
    val activeReceiveTimeout: Duration = 6.seconds,
    val idlePingInterval: Duration = 15.seconds,
    val idleReceiveTimeout: Duration = 45.seconds,
    val unusedTimeout: Duration = 60.seconds,
    val write: Duration = 10.seconds,
    val window: Int = 64,
    val maxFrameBytes: Int = 8 * 1024 * 1024,
    val maxExchanges: Int = 4_096,
    val maxConnections: Int = 8_192,
)
