package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import sycamore.daemon.log.LogContext
import sycamore.model.Configuration
import sycamore.model.Generation

private val log = KotlinLogging.logger {}

/** Holds the configuration that is in force in this daemon. Its generation never decreases. */
class InForce {
    private val state = MutableStateFlow<Configuration?>(null)

    /** The configuration in force, or null before the first one has been received. */
    val configuration: StateFlow<Configuration?> = state.asStateFlow()

    /** The generation of the configuration in force, or [Generation.NONE]. */
    val generation: Generation get() = state.value?.generation ?: Generation.NONE

    /** Puts [offered] in force if its generation is higher than the current one; returns whether it did. */
    fun offer(offered: Configuration): Boolean {
        while (true) {
            val current = state.value
            if (current != null && current.generation >= offered.generation) return false
            if (state.compareAndSet(current, offered.copy(publishes = emptyList()))) {
                LogContext.setGeneration(offered.generation)
                log.info { "generation ${offered.generation} is in force" }
                return true
            }
        }
    }

    companion object {
        /** Key of the published configuration in the key-value service. */
        const val KEY = "config/current"

        /** Decodes a published configuration. */
        fun decode(bytes: ByteArray): Configuration = ConfigurationCodec.decode(bytes)

        /** Encodes [configuration] for publishing. */
        fun encode(configuration: Configuration): ByteArray = ConfigurationCodec.encode(configuration)
    }
}
