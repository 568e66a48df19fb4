package sycamore.ctl

import sycamore.model.Checked
import sycamore.model.Configuration
import sycamore.model.ConfigurationCheck
import sycamore.model.Finding
import sycamore.model.Fleet
import sycamore.model.FleetFile
import sycamore.model.Generation
import sycamore.model.Service
import sycamore.model.ServiceFile
import java.io.File
import java.io.IOException

/** The directory of configuration files that operators edit: `fleet.toml` and one file per service. */
internal class ConfigurationFiles(
    private val directory: File,
) {
    /** Reads all files and checks them, each by itself and all together. The result has no generation yet. */
    fun read(): Checked<Configuration> {
        val findings = ArrayList<Finding>()
        val fleet = readFile(FleetFile.FILE_NAME, findings, FleetFile::read)
        val services = serviceFiles().mapNotNull { readFile(it, findings, ServiceFile::read) }
        if (fleet != null) findings += ConfigurationCheck.check(fleet, services)
        if (fleet == null || findings.isNotEmpty()) return Checked.Invalid(findings.sorted())
        return Checked.Valid(configuration(fleet.value, services.map { it.value }))
    }

    private fun serviceFiles(): List<String> =
        directory
            .list { _, name -> name.endsWith(".toml") && name != FleetFile.FILE_NAME }
            .orEmpty()
            .sorted()

    private fun <T : Any> readFile(
        name: String,
        findings: MutableList<Finding>,
        read: (String, String) -> Checked<T>,
    ): Checked.Valid<T>? =
        when (val checked = read(name, readContent(name, findings) ?: return null)) {
            is Checked.Valid -> checked
            is Checked.Invalid -> null.also { findings += checked.findings }
        }

    private fun readContent(
        name: String,
        findings: MutableList<Finding>,
    ): String? {
        val file = File(directory, name)
        return try {
            file.readText()
        } catch (_: IOException) {
            findings += Finding(name, 1, 1, "no readable file", "a file called $name in $directory")
            null
        }
    }

    private fun configuration(
        fleet: Fleet,
        services: List<Service>,
    ) = Configuration(
        generation = Generation.NONE,
        publishId = "",
        places = fleet.places,
        links = fleet.links,
        callers = fleet.callers.sortedBy { it.name.value },
        services = services.sortedBy { it.name.value },
    )
}
