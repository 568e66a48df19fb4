package sycamore.daemon

import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP
import org.eclipse.jetty.http.BadMessageException
import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpStatus
import org.eclipse.jetty.http.HttpVersion
import java.io.IOException

/** Thrown when a server sends bytes that are no response. The server may have run the request. */
class InvalidResponseException(
    message: String,
) : IOException(message)

/**
 * Reads the responses on a connection to a server. One that is invalid fails its request with
 * [InvalidResponseException] and closes the connection.
 *
 * Jetty accepts each status from 600 to 999, and from 10 to 99 if the status line has no reason. It ends a request with a
 * response 101 and leaves its connection in use, although no request asks for another protocol.
 */
open class ResponseReceiver(
    channel: HttpChannelOverHTTP,
) : HttpReceiverOverHTTP(channel) {
    override fun startResponse(
        version: HttpVersion,
        status: Int,
        reason: String?,
    ) {
        if (!isStatus(status)) throw BadMessageException("invalid status ($status)")
        super.startResponse(version, status, reason)
    }

    override fun badMessage(failure: HttpException) {
        if (httpExchange == null) return super.badMessage(failure)
        failAndClose(InvalidResponseException("the response is invalid: ${failure.reason}"))
    }

    private fun isStatus(status: Int): Boolean = status in FINAL_STATUSES || HttpStatus.isInterim(status)

    private companion object {
        val FINAL_STATUSES = 200..599
    }
}
