package sycamore.model

import kotlinx.serialization.Serializable

/** The name of a [Host], unique in the fleet. */
@Serializable
@JvmInline
value class HostName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a [Place] (a data centre). */
@Serializable
@JvmInline
value class PlaceName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a region: a set of places joined by links that are not billed. */
@Serializable
@JvmInline
value class RegionName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a [Caller], the account that requests are charged to. */
@Serializable
@JvmInline
value class CallerName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a [Service]. */
@Serializable
@JvmInline
value class ServiceName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a model, adapter or version that an engine can load. */
@Serializable
@JvmInline
value class ModelName(
    val value: String,
) {
    override fun toString(): String = value
}

/** An IP address and a port, as in `10.0.0.7:7400`. */
@Serializable
data class Address(
    val ip: String,
    val port: Int,
) {
    override fun toString(): String = "$ip:$port"

    companion object {
        private val ports = 1..65_535

        /** An IP address or a host name. Anything else would fail, or be misread, where the address is used. */
        private val ips = Regex("[0-9A-Za-z._:\\[\\]-]{1,253}")

        /** Whether [address] has a port and an IP address, or a host name, that connections can be opened to. */
        fun isValid(address: Address): Boolean = address.port in ports && ips.matches(address.ip)

        /** Parses `ip:port`, or returns null when [text] has another form. */
        fun parse(text: String): Address? {
            val ip = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return port?.let { Address(ip, it) }?.takeIf(::isValid)
        }
    }
}
