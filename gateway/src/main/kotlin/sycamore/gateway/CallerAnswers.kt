package sycamore.gateway

import sycamore.forwarding.CallerExchange
import sycamore.platform.CallHeaders
import sycamore.platform.Header
import sycamore.routing.AttemptId
import kotlin.time.Duration

/** An answer of the system's own to a call that no upstream answered. */
enum class OwnAnswer(
    val status: Int,
) {
    /** The call cannot be understood. */
    BAD_REQUEST(400),

    /** The program's budget is spent; the turn did not run. */
    BUDGET_SPENT(402),

    /** There is no such route, or no such turn. */
    NOT_FOUND(404),

    /** The body is longer than the configuration allows. */
    TOO_LARGE(413),

    /** The upstream broke off; the call may have run. */
    BROKEN(502),

    /** The call did not run and will not. */
    NOT_RUN(503),

    /** No answer came in time; the call may have run. */
    TOO_LATE(504),
}

/** Answers [answer] with [detail] as text. */
suspend fun CallerExchange.answer(
    answer: OwnAnswer,
    detail: String,
    id: AttemptId?,
    retryAfter: Duration? = null,
) {
    val headers = ArrayList<Header>()
    headers += "Content-Type" to "text/plain"
    if (id != null) headers += CallHeaders.requestId(id)
    if (retryAfter != null) headers += CallHeaders.retryAfter(retryAfter)
    answer(answer.status, headers, "$detail\n".encodeToByteArray())
}
