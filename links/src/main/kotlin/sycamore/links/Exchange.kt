package sycamore.links

import kotlinx.coroutines.flow.Flow
import sycamore.model.Address
import sycamore.model.HostName

/**
 * Sends a message to the daemon at an address and emits its replies up to the last one.
 *
 * The flow fails with [LinkException] if the link is lost before the last reply. Whether the receiver acted on the
 * message is then unknown.
 */
typealias Exchange = (to: Address, message: Message) -> Flow<Message>

/** Handles a message from the daemon named by a [HostName] and returns the stream of replies. */
typealias MessageHandler = (from: HostName, message: Message) -> Flow<Message>

/**
 * Thrown when the link to a daemon fails.
 *
 * @property sent whether the message may have reached the receiver.
 * @property isRefused whether the receiver's host refused the connection, since no daemon listens on the port.
 */
class LinkException(
    message: String,
    val sent: Boolean,
    val isRefused: Boolean = false,
) : Exception(message)
