package sycamore.gateway

import sycamore.forwarding.ConnectionUse
import sycamore.routing.UpstreamId

/**
 * An attempt of a call that did not lead to a complete response, for the log.
 *
 * @property via the home that was to send the turn; null for a plain call.
 * @property outcome what was concluded from the attempt.
 * @property status the status of the upstream's response; null if none was received.
 * @property sent whether the upstream may have received the call.
 * @property connection the use of the connection; null if the call had none, or another daemon used it.
 * @property detail what was seen.
 */
internal data class AttemptTrace(
    val upstream: UpstreamId,
    val outcome: Outcome,
    val detail: String,
    val via: String? = null,
    val status: Int? = null,
    val sent: Boolean = true,
    val connection: ConnectionUse? = null,
) {
    /** What was concluded from an attempt. */
    enum class Outcome(
        val text: String,
    ) {
        /** The call did not run. */
        NOT_RUN("not run"),

        /** The call may have run. */
        FAILED("failed"),

        /** A part of the response was forwarded. */
        CUT("cut"),
    }

    override fun toString(): String {
        val facts =
            listOfNotNull(
                via?.let { "via $it" },
                status?.let { "status $it" },
                if (sent) null else "not sent",
                connection?.let { "request ${it.requests} of a connection of ${it.age.inWholeMilliseconds} ms" },
            )
        return "$upstream ${outcome.text} (${facts.joinToString()}): $detail"
    }
}
