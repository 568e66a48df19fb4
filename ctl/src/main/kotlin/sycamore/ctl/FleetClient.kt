package sycamore.ctl

import sycamore.daemon.Http
import sycamore.daemon.Threads
import sycamore.daemon.linkKeys
import sycamore.links.LinkClient
import sycamore.links.LinkKeys
import sycamore.model.Address
import sycamore.model.Checked
import sycamore.model.HostName
import sycamore.model.TomlFile
import sycamore.model.TomlReader
import sycamore.platform.StoreKeyValue
import sycamore.services.HttpHostList
import sycamore.services.KeyValue
import sycamore.services.ReadHostList
import sycamore.services.keyValueClient
import java.io.File
import java.io.IOException

/** The addresses and link keys with which the operators' command line reaches the fleet. */
internal data class FleetSettings(
    val keyValue: Address? = null,
    val hostList: Address? = null,
    val linkKeys: LinkKeys = LinkKeys.NONE,
) {
    companion object {
        /** Reads [text] of the settings file called [file]. */
        fun read(
            file: String,
            text: String,
        ): Checked<FleetSettings> = TomlFile.read(file, text, ::settings)

        private fun settings(reader: TomlReader): FleetSettings =
            FleetSettings(
                keyValue = if (reader.has("key_value")) reader.address("key_value") else null,
                hostList = if (reader.has("host_list")) reader.address("host_list") else null,
                linkKeys = reader.linkKeys(listen = null),
            )
    }
}

/** A client of the platform's services and of the daemons, for the operators' command line. */
internal class FleetClient private constructor(
    private val settings: FleetSettings,
) : AutoCloseable {
    private val http = Http.client()

    /** The key-value service. */
    val keys: KeyValue by lazy {
        val address = settings.keyValue ?: throw MisuseException("expected --key-value IP:port, found none")
        keyValueClient(StoreKeyValue(address, http, Threads.blocking))
    }

    /** Reads the list of hosts; null when the settings name none. */
    val hosts: ReadHostList? = settings.hostList?.let { HttpHostList.reader(it, http, Threads.blocking) }

    private val links = lazy { LinkClient(HostName("sycamorectl"), settings.linkKeys) }

    /** Collects the reports of all places from their daemons; null when the settings name no list of hosts. */
    suspend fun survey(): FleetReport? {
        val listed = hosts?.invoke() ?: return null
        return Survey(links.value::exchange).collect(listed)
    }

    override fun close() {
        if (links.isInitialized()) links.value.close()
    }

    companion object {
        /** Opens a client with the settings file at [path]; [keyValue] and [hostList] take precedence over the file. */
        fun open(
            path: String?,
            keyValue: String?,
            hostList: String?,
        ): FleetClient {
            val settings = if (path == null) FleetSettings() else read(path)
            return FleetClient(
                FleetSettings(
                    keyValue = keyValue?.let { address("--key-value", it) } ?: settings.keyValue,
                    hostList = hostList?.let { address("--host-list", it) } ?: settings.hostList,
                    linkKeys = settings.linkKeys,
                ),
            )
        }

        private fun read(path: String): FleetSettings {
            val text =
                try {
                    File(path).readText()
                } catch (e: IOException) {
                    throw MisuseException("cannot read --settings: ${e.message}")
                }
            return when (val checked = FleetSettings.read(path, text)) {
                is Checked.Valid -> checked.value
                is Checked.Invalid -> throw MisuseException(checked.findings.joinToString("\n"))
            }
        }

        private fun address(
            option: String,
            text: String,
        ): Address = Address.parse(text) ?: throw MisuseException("expected IP:port for $option, found '$text'")
    }
}
