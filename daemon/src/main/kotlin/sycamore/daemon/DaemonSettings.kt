package sycamore.daemon

import sycamore.links.LinkKeys
import sycamore.model.Address
import sycamore.model.Checked
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.model.TomlFile
import sycamore.model.TomlReader

/**
 * The settings that a daemon reads from one TOML file at its start.
 *
 * @property name the name of this daemon's host.
 * @property place the place that the host belongs to.
 * @property listen the address on which links from other daemons are accepted.
 * @property http the address on which HTTP is served: to callers by an entry, to operators by a host.
 * @property keyValue the address of the platform's key-value service.
 * @property hostList the address of the platform's list of hosts.
 * @property limits the upper bounds of the requests and connections that [http] accepts.
 * @property tls the certificate that [http] presents; null serves without TLS.
 * @property linkKeys the keys by which daemons authenticate each other.
 */
data class DaemonSettings(
    val name: HostName,
    val place: PlaceName,
    val listen: Address,
    val http: Address,
    val keyValue: Address,
    val hostList: Address,
    val limits: HttpLimits = HttpLimits(),
    val tls: TlsSettings? = null,
    val linkKeys: LinkKeys = LinkKeys.NONE,
) {
    companion object {
        /** Parses [text], the content of the settings file called [file]. */
        fun read(
            file: String,
            text: String,
        ): Checked<DaemonSettings> = TomlFile.read(file, text, ::from)

        /** Reads the settings that all daemons share. */
        fun from(reader: TomlReader): DaemonSettings {
            val listen = reader.address("listen")
            return DaemonSettings(
                name = HostName(reader.name("name")),
                place = PlaceName(reader.name("place")),
                listen = listen,
                linkKeys = reader.linkKeys(listen),
                http = reader.address("http"),
                keyValue = reader.address("key_value"),
                hostList = reader.address("host_list"),
                limits = HttpLimits.from(reader.table("limits")),
                tls = if (reader.has("tls")) TlsSettings.from(reader.table("tls")) else null,
            )
        }
    }
}
