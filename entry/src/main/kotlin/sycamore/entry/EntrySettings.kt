package sycamore.entry

import sycamore.daemon.DaemonSettings
import sycamore.model.Checked
import sycamore.model.TomlFile
import sycamore.model.TomlReader

/**
 * The settings of an entry daemon.
 *
 * @property daemon the settings that all daemons share.
 * @property entries the number of entry hosts among which the platform's balancer distributes the requests.
 */
internal data class EntrySettings(
    val daemon: DaemonSettings,
    val entries: Int,
) {
    companion object {
        private const val MAX_ENTRIES = 10_000L

        /** Reads [text] of the settings file called [file]. */
        fun read(
            file: String,
            text: String,
        ): Checked<EntrySettings> = TomlFile.read(file, text, ::settings)

        private fun settings(reader: TomlReader) =
            EntrySettings(
                daemon = DaemonSettings.from(reader),
                entries = reader.long("entries", default = 1, range = 1..MAX_ENTRIES).toInt(),
            )
    }
}
