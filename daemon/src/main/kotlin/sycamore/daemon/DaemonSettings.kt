package sycamore.daemon

import sycamore.links.LinkKeys
import sycamore.model.Address
import sycamore.model.Checked
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.model.TomlFile
import sycamore.model.TomlReader

/**
 * What a daemon is told at its start, by one TOML file.
 *
 * @property listen where links from other daemons are accepted.
 * @property http where HTTP is served: to callers by an entry, to operators by a host.
 * @property keyValue the platform's key-value service.
 * @property hostList the platform's list of hosts.
 * @property limits upper bounds of what [http] accepts.
 * @property linkKeys proof that daemons show each other.
 * @property tls the certificate that [http] shows; null serves without TLS.
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
        /** Reads [text] of the settings file called [file]. */
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
