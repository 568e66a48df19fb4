package sycamore.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import sycamore.daemon.ConfigurationCodec
import sycamore.daemon.InForce
import sycamore.model.Configuration
import sycamore.services.Item
import sycamore.services.ReadResult
import sycamore.services.retryRead
import kotlin.time.Duration.Companion.seconds

/** `sycamorectl show`: prints the published configuration, or the result of one publish. */
internal class ShowCommand(
    terminal: Terminal,
) : OnlineCommand("show", "Print the published configuration, or what became of a publish", terminal) {
    private val json by option(ArgType.Boolean, "json", description = "Print it as JSON").default(false)
    private val publish by option(ArgType.String, "publish", description = "Id of a publish to ask about")

    override suspend fun run(fleet: FleetClient): Exit {
        val read: ReadResult<Item?> = retryRead(READ_TIMEOUT) { fleet.keys.get(InForce.KEY) }
        if (read !is ReadResult.Found) {
            terminal.printNotice("the key-value service does not answer; nothing is known")
            return Exit.FAILED
        }
        val bytes = read.value?.value
        val configuration = bytes?.let(ConfigurationCodec::decodeOrNull)
        val id = publish
        return when {
            id != null -> showPublish(configuration, id)
            configuration == null -> terminal.printNotice("nothing is published").let { Exit.FAILED }
            json -> terminal.printLine(ConfigurationCodec.toJson(configuration)).let { Exit.DONE }
            else -> showText(configuration)
        }
    }

    private fun showPublish(
        configuration: Configuration?,
        id: String,
    ): Exit {
        val mark = configuration?.publishes?.firstOrNull { it.publishId == id }
        if (mark != null) {
            terminal.printLine("accepted: generation ${mark.generation}, at ${mark.at}")
            return Exit.DONE
        }
        val oldest = configuration?.publishes?.firstOrNull()?.generation
        terminal.printLine("not accepted, as far back as generation ${oldest ?: 0}")
        return Exit.FAILED
    }

    private fun showText(configuration: Configuration): Exit {
        val last = configuration.publishes.lastOrNull()
        terminal.printLine(
            "generation ${configuration.generation}, published by ${last?.by ?: "?"} at ${last?.at ?: "?"}",
        )
        val places = configuration.places.joinToString { "${it.name} (${it.region})" }
        terminal.printLine("places: $places")
        terminal.printLine("callers: ${configuration.callers.joinToString { it.name.value }}")
        configuration.services.forEach { service ->
            val kind = service.kind.name.lowercase()
            terminal.printLine("service ${service.name} ($kind): capacity ${service.capacity}")
            service.upstreams.forEach {
                terminal.printLine("  ${it.host} in ${it.place} at ${it.address}, capacity ${it.capacity}")
            }
        }
        return Exit.DONE
    }

    private companion object {
        val READ_TIMEOUT = 10.seconds
    }
}
