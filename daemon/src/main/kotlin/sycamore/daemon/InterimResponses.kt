package sycamore.daemon

import org.eclipse.jetty.client.EarlyHintsProtocolHandler
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.http.HttpStatus

/** Skips interim responses of any status. Jetty's handlers skip those of the statuses 100, 102 and 103. */
class InterimResponses private constructor() : EarlyHintsProtocolHandler() {
    override fun accept(
        request: Request,
        response: Response,
    ): Boolean = HttpStatus.isInterim(response.status)

    companion object {
        /** Makes [client], which was started, skip interim responses and handle no other response itself. */
        fun skip(client: HttpClient) {
            client.protocolHandlers.clear()
            client.protocolHandlers.put(InterimResponses())
        }
    }
}
