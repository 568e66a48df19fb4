package sycamore.daemon

import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint

/** A transport of HTTP/1.1 whose responses a [ResponseReceiver] reads. */
internal class ResponseTransport : HttpClientTransportOverHTTP() {
    override fun newConnection(
        endPoint: EndPoint,
        context: Map<String, Any>,
    ): Connection = customize(ServerConnection(endPoint, context), context)

    private class ServerConnection(
        endPoint: EndPoint,
        context: Map<String, Any>,
    ) : HttpConnectionOverHTTP(endPoint, context) {
        override fun newHttpChannel(): HttpChannelOverHTTP = Channel()

        private inner class Channel : HttpChannelOverHTTP(this) {
            override fun newHttpReceiver(): HttpReceiverOverHTTP = ResponseReceiver(this)
        }
    }
}
