package sycamore.forwarding

import kotlin.time.Duration

/**
 * The use of a connection until a response was received on it.
 *
 * @property requests the number of requests sent on the connection, including the one that waits for the response.
 * @property age the time since the connection was opened.
 */
data class ConnectionUse(
    val requests: Long,
    val age: Duration,
)
