package sycamore.ctl

import sycamore.model.Checked
import sycamore.model.Configuration
import sycamore.model.Finding
import sycamore.model.Fleet
import sycamore.model.FleetFile
import sycamore.model.Generation
import sycamore.model.Service
import sycamore.model.ServiceFile
import java.io.File

/** The directory that operators edit: `fleet.toml` and one file per service. */
internal class ConfigurationFiles(
    private val directory: File,
) {
    /** Reads and checks all files as the configuration of [generation]. */
    fun read(
        generation: Generation,
        publishId: String,
    ): Checked<Configuration> {
        val findings = ArrayList<Finding>()
        val fleet = take(FleetFile.NAME, findings, FleetFile::read)
        val services = serviceFiles().mapNotNull { take(it, findings, ServiceFile::read) }
        if (fleet == null || findings.isNotEmpty()) return Checked.Invalid(findings.sorted())
        return Checked.Valid(configuration(generation, publishId, fleet, services))
    }

    private fun serviceFiles(): List<String> =
        directory
            .list { _, name -> name.endsWith(".toml") && name != FleetFile.NAME }
            .orEmpty()
            .sorted()

    private fun <T : Any> take(
        name: String,
        findings: MutableList<Finding>,
        read: (String, String) -> Checked<T>,
    ): T? {
        val file = File(directory, name)
        if (!file.isFile) {
            findings += Finding(name, 1, 1, "no such file", "a file called $name in $directory")
            return null
        }
        return when (val checked = read(name, file.readText())) {
            is Checked.Valid -> checked.value
            is Checked.Invalid -> null.also { findings += checked.findings }
        }
    }

    private fun configuration(
        generation: Generation,
        publishId: String,
        fleet: Fleet,
        services: List<Service>,
    ) = Configuration(generation, publishId, fleet.places, fleet.links, fleet.callers, services)
}
