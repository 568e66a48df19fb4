package sycamore.soak

/**
 * Where the turns of a configuration run.
 *
 * @property engines the weight of the service with engines.
 * @property plain the weight of the service without engines.
 * @property hasProfile whether the configuration states the profile of the engines. Without it, they are an ordinary service.
 */
internal enum class TurnPlacement(
    private val engines: Int,
    private val plain: Int,
    val hasProfile: Boolean = true,
) {
    ENGINES(1, 0),
    SPLIT(1, 1),
    PLAIN(0, 1),
    WITHOUT_PROFILE(1, 0, hasProfile = false),
    ;

    /** The weights of the services that get turns, by their names. */
    fun weights(
        engineService: String,
        plainService: String,
    ): Map<String, Int> = mapOf(engineService to engines, plainService to plain).filterValues { it > 0 }
}
