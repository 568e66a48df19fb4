package sycamore.links

import kotlinx.coroutines.flow.Flow
import sycamore.model.Address
import sycamore.model.HostName

/**
 * Sends a message to the daemon at an address and yields its replies until the last one.
 *
 * The flow fails with [LinkException] when the link is lost before the last reply; what the receiver did is then unknown.
 */
typealias Exchange = (to: Address, message: Message) -> Flow<Message>

/** Answers a message from the daemon called [HostName] with a stream of replies. */
typealias Serve = (from: HostName, message: Message) -> Flow<Message>

/**
 * The link to a daemon failed.
 *
 * @property sent whether the message may have reached the receiver.
 * @property isRefused whether the receiver's host says that no daemon listens there.
 */
class LinkException(
    message: String,
    val sent: Boolean,
    val isRefused: Boolean = false,
) : Exception(message)
