package sycamore.standins

import sycamore.model.Address
import sycamore.model.Checked
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.model.TomlFile
import sycamore.model.TomlReader
import sycamore.services.ListedHost
import sycamore.standins.engine.EngineSettings
import sycamore.standins.engine.WeightStore

/**
 * The fakes of outside systems that one process runs, and the addresses at which it serves them.
 *
 * @property hosts the initial content of the host lists.
 * @property weightsPerSecond the bytes of model weights per second that all engines together can download.
 */
data class StandinSettings(
    val keyValue: List<Address>,
    val hostList: List<Address>,
    val engines: List<EngineSettings>,
    val orders: List<Address>,
    val hosts: List<ListedHost>,
    val weightsPerSecond: Long = WeightStore.DEFAULT_BYTES_PER_SECOND,
) {
    companion object {
        /** Parses [text], the content of the settings file called [file]. */
        fun read(
            file: String,
            text: String,
        ): Checked<StandinSettings> = TomlFile.read(file, text, ::settings)

        private fun settings(reader: TomlReader): StandinSettings =
            StandinSettings(
                keyValue = addresses(reader, "key_value"),
                hostList = addresses(reader, "host_list"),
                engines = reader.tables("engines").map(EngineSettings::read),
                orders = addresses(reader, "orders"),
                hosts = reader.tables("hosts").map(::host),
                weightsPerSecond = reader.size("weights_per_second", WeightStore.DEFAULT_BYTES_PER_SECOND),
            )

        private fun addresses(
            reader: TomlReader,
            key: String,
        ): List<Address> = reader.tables(key).map { it.address("address") }

        private fun host(reader: TomlReader): ListedHost =
            ListedHost(HostName(reader.name("name")), PlaceName(reader.name("place")), reader.address("address"))
    }
}
