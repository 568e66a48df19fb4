package sycamore.ctl

import sycamore.daemon.InForce
import sycamore.model.Checked
import sycamore.model.Configuration
import sycamore.model.Finding
import sycamore.model.Generation
import sycamore.platform.Item
import sycamore.platform.KeyValue
import sycamore.platform.Read
import sycamore.platform.Revision
import sycamore.platform.Write

/** What became of a publish. */
internal sealed interface Published {
    /** It is accepted as [generation]. */
    data class Accepted(
        val generation: Generation,
    ) : Published

    /** The files are wrong. */
    data class Wrong(
        val findings: List<Finding>,
    ) : Published

    /** It had no effect. */
    data class NotAccepted(
        val reason: String,
    ) : Published

    /** It may have taken effect. */
    data class NotKnown(
        val reason: String,
    ) : Published
}

/** Publishes the files of a directory as the next generation. */
internal class Publish(
    private val keys: KeyValue,
) {
    /** Reads [files] and writes them under the next generation, marked with [publishId]. */
    suspend fun run(
        files: ConfigurationFiles,
        publishId: String,
    ): Published {
        val current =
            when (val read = keys.get(InForce.KEY)) {
                is Read.Found -> read.value
                is Read.Unreachable -> return Published.NotAccepted(read.reason)
            }
        val generation = current?.value?.let { InForce.decode(it).generation } ?: Generation.NONE
        return when (val checked = files.read(generation.next(), publishId)) {
            is Checked.Valid -> write(checked.value, current)
            is Checked.Invalid -> Published.Wrong(checked.findings)
        }
    }

    private suspend fun write(
        configuration: Configuration,
        current: Item?,
    ): Published {
        val expected = current?.version ?: Revision.ABSENT
        return when (val write = keys.put(InForce.KEY, InForce.encode(configuration), expected)) {
            is Write.Taken -> Published.Accepted(configuration.generation)
            is Write.Conflict -> Published.NotAccepted("another publish came first")
            is Write.NotSent -> Published.NotAccepted(write.reason)
            is Write.NotKnown -> Published.NotKnown(write.reason)
        }
    }
}
