package sycamore.decisions.pace

/**
 * The prompts that each engine probably holds, as far as the turns that passed here show it. The least recently used ones
 * are forgotten. Not thread-safe.
 *
 * @param capacity the number of parts and programs that are remembered for each engine.
 */
class HeldPrompts<E>(
    private val capacity: Int,
) {
    private class Recent<K, V>(
        private val capacity: Int,
    ) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > capacity
    }

    private val parts = Recent<E, Recent<String, Long>>(MAX_ENGINES)
    private val programs = Recent<String, Pair<E, Long>>(capacity)

    /** Records that [engine] has read the [prompt] of a turn of [program], a list of part ids with their tokens. */
    fun record(
        engine: E,
        program: String,
        promptTokens: Long,
        prompt: List<Pair<String, Long>>,
    ) {
        programs[program] = engine to promptTokens
        val held = parts.getOrPut(engine) { Recent(capacity) }
        prompt.forEach { (id, tokens) -> held[id] = tokens }
    }

    /** The engine of the last turn of [program]; null if it is not known. */
    fun lastEngine(program: String): E? = programs[program]?.first

    /** The number of tokens of a prompt of [promptTokens] that [engine] would have to read. */
    fun unread(
        engine: E,
        program: String,
        promptTokens: Long,
        prompt: List<Pair<String, Long>>,
    ): Long {
        val held = parts[engine]
        val shared = prompt.takeWhile { (id, tokens) -> (held?.get(id) ?: -1) >= tokens }.sumOf { it.second }
        val own = programs[program]?.takeIf { it.first == engine }?.second ?: 0
        return (promptTokens - maxOf(shared, own)).coerceAtLeast(0)
    }

    private companion object {
        const val MAX_ENGINES = 200
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
