package sycamore.soak

/**
 * The arrival of an attempt at an upstream, whether it runs or not.
 *
 * @property connection the number of the connection at the upstream.
 * @property request the number of the request on the connection.
 * @property outcome the status of a refusal, or "run".
 */
internal data class Receipt(
    val upstream: String,
    val address: String,
    val connection: Int,
    val request: Int,
    val millis: Long,
    val outcome: String,
)
