package sycamore.entry

import sycamore.daemon.DaemonSettings
import sycamore.model.Checked
import sycamore.model.TomlFile
import sycamore.model.TomlReader

/**
 * What an entry is told at its start.
 *
 * @property entries over how many entry hosts the platform's balancer spreads the requests.
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
