package sycamore.gateway

import sycamore.forwarding.CallerExchange
import sycamore.platform.CallHeaders
import sycamore.platform.Header
import sycamore.routing.AttemptId
import kotlin.time.Duration

/** An error response of the gateway itself to a call that no upstream answered. */
enum class GatewayError(
    val status: Int,
) {
    /** The request is invalid. */
    BAD_REQUEST(400),

    /** The request has no valid key. It did not run and will not run. */
    UNAUTHENTICATED(401),

    /** The program's token budget is exhausted. The turn did not run. */
    BUDGET_SPENT(402),

    /** The route or the continued turn does not exist. */
    NOT_FOUND(404),

    /** The body is longer than the configuration allows. */
    TOO_LARGE(413),

    /** The account has reached its limit. The call did not run and will not run. */
    OVER_LIMIT(429),

    /** The upstream failed during the call. The call may have run. */
    BROKEN(502),

    /** The call did not run and will not run. */
    NOT_RUN(503),

    /** No response arrived in time. The call may have run. */
    TOO_LATE(504),
}

/** Responds with the status of [error] and [detail] as plain text. */
suspend fun CallerExchange.respond(
    error: GatewayError,
    detail: String,
    id: AttemptId?,
    retryAfter: Duration? = null,
) {
    val headers = ArrayList<Header>()
    headers += "Content-Type" to "text/plain"
    if (id != null) headers += CallHeaders.requestId(id)
    if (error == GatewayError.UNAUTHENTICATED) headers += CallHeaders.challenge
    if (retryAfter != null) headers += CallHeaders.retryAfter(retryAfter)
    respond(error.status, headers, "$detail\n".encodeToByteArray())
}
