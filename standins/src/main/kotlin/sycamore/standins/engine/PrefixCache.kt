package sycamore.standins.engine

import java.util.TreeSet

/**
 * A cache of prompt prefixes, which shares its limited memory with the tokens of running sequences.
 *
 * Each block holds one [PromptSpan]. The least recently used block is evicted first, and of a chain of blocks that
 * were used together the last one. A block that several programs have used belongs to no program, so that it is
 * evicted only when it is the least recently used one.
 *
 * @param capacityTokens the number of tokens that fit into memory.
 * @param onChange called with a program and its number of cached tokens after this number has changed.
 */
internal class PrefixCache(
    private val capacityTokens: Long,
    private val onChange: (program: String, tokens: Long) -> Unit,
) {
    private class Block(
        val span: PromptSpan,
        val depth: Int,
    ) {
        var program: String? = null
        var lastUse = 0L
        var pins = 0
    }

    private val blocks = HashMap<Long, Block>()
    private val idle =
        TreeSet(compareBy<Block>({ it.lastUse }, { -it.depth }, { it.span.id }))
    private val blocksByProgram = HashMap<String, LinkedHashSet<Block>>()
    private var useCounter = 0L

    /** The number of tokens in blocks. */
    var storedTokens = 0L
        private set

    /** The number of tokens that running sequences have reserved, in addition to blocks. */
    var reservedTokens = 0L
        private set

    private var pinnedTokens = 0L

    /** The number of tokens in the blocks of each program. */
    fun listing(): Map<String, Long> =
        blocksByProgram.mapValues { (_, ownBlocks) -> ownBlocks.sumOf { it.span.tokens.toLong() } }

    /** The number of tokens of the longest cached prefix of [prompt]. */
    fun cachedTokens(prompt: List<PromptSpan>): Int = cachedPrefix(prompt).sumOf { it.span.tokens }

    /** The spans of the blocks of [program], sorted by their position in the prompt. */
    fun spansOf(program: String): List<PromptSpan> =
        blocksByProgram[program].orEmpty().sortedBy { it.depth }.map { it.span }

    private fun cachedPrefix(prompt: List<PromptSpan>): List<Block> =
        buildList { for (span in prompt) add(blocks[span.id] ?: break) }

    /** Pins the cached prefix of [prompt] and reserves [extra] tokens. Returns false if the memory is too small. */
    fun reserve(
        prompt: List<PromptSpan>,
        extra: Long,
        program: String,
    ): Boolean {
        val prefix = cachedPrefix(prompt)
        val newlyPinnedTokens = prefix.filter { it.pins == 0 }.sumOf { it.span.tokens }
        if (pinnedTokens + newlyPinnedTokens + reservedTokens + extra > capacityTokens) return false
        useCounter++
        prefix.forEach { pin(it, program) }
        reservedTokens += extra
        evictToCapacity()
        return true
    }

    /** Releases [extra] tokens that [reserve] has reserved. */
    fun release(extra: Long) {
        reservedTokens -= extra
    }

    /** Unpins the first [count] blocks of [prompt]. */
    fun unpin(
        prompt: List<PromptSpan>,
        count: Int,
    ) = prompt.take(count).forEach { span ->
        val block = blocks.getValue(span.id)
        if (--block.pins == 0) {
            pinnedTokens -= span.tokens
            idle += block
        }
    }

    /** The number of blocks of the longest cached prefix of [prompt]. */
    fun cachedBlocks(prompt: List<PromptSpan>): Int = cachedPrefix(prompt).size

    /** Stores the missing blocks of [prompt] for [program]. If [isPinned], the caller pins them with [pinFrom]. */
    fun store(
        prompt: List<PromptSpan>,
        program: String,
        isPinned: Boolean,
    ) {
        useCounter++
        prompt.forEachIndexed { depth, span ->
            blocks[span.id]?.let(::touch)
            if (span.id in blocks) return@forEachIndexed
            val block = Block(span, depth).also { it.program = program }
            block.lastUse = useCounter
            blocks[span.id] = block
            blocksByProgram.getOrPut(program) { LinkedHashSet() } += block
            storedTokens += span.tokens
            if (!isPinned) idle += block
        }
        evictToCapacity()
        onChange(program, tokensOf(program))
    }

    /** Pins the blocks of [prompt] from the index [from] on. */
    fun pinFrom(
        prompt: List<PromptSpan>,
        from: Int,
        program: String,
    ) = prompt.drop(from).forEach { pin(blocks.getValue(it.id), program) }

    /** Evicts the blocks of [program] that no running sequence uses. Returns the number of freed tokens. */
    fun evict(program: String): Long {
        val evicted = blocksByProgram[program].orEmpty().filter { it.pins == 0 }
        evicted.forEach(::remove)
        if (evicted.isNotEmpty()) onChange(program, tokensOf(program))
        return evicted.sumOf { it.span.tokens.toLong() }
    }

    /** Evicts all blocks that no running sequence uses, without calling [onChange]. */
    fun clear() {
        while (idle.isNotEmpty()) remove(idle.first())
    }

    private fun pin(
        block: Block,
        program: String,
    ) {
        if (block.pins == 0) {
            idle -= block
            pinnedTokens += block.span.tokens
        }
        block.pins++
        block.lastUse = useCounter
        clearOwnerIfShared(block, program)
    }

    /** Marks [block] as used with the rest of its chain, or else the start of the chain would be evicted first. */
    private fun touch(block: Block) {
        val isIdle = idle.remove(block)
        block.lastUse = useCounter
        if (isIdle) idle += block
    }

    private fun clearOwnerIfShared(
        block: Block,
        program: String,
    ) {
        val owner = block.program ?: return
        if (owner == program) return
        blocksByProgram[owner]?.remove(block)
        block.program = null
    }

    private fun evictToCapacity() {
        while (storedTokens + reservedTokens > capacityTokens) {
            val oldest = idle.firstOrNull() ?: return
            remove(oldest)
            oldest.program?.let { onChange(it, tokensOf(it)) }
        }
    }

    private fun remove(block: Block) {
        idle -= block
        blocks -= block.span.id
        storedTokens -= block.span.tokens
        val owner = block.program ?: return
        val ownBlocks = blocksByProgram[owner] ?: return
        ownBlocks -= block
        if (ownBlocks.isEmpty()) blocksByProgram -= owner
    }

    private fun tokensOf(program: String): Long = blocksByProgram[program].orEmpty().sumOf { it.span.tokens.toLong() }
}
