package sycamore.standins.engine

import java.util.TreeSet

/**
 * Prefixes of prompts in limited memory, with the running sequences' tokens beside them.
 *
 * A block is one [PromptSpan]. Blocks are evicted by least recent use, a chain's last block first. A block that two
 * programs use belongs to neither, and goes by least recent use alone.
 */
internal class PrefixCache(
    private val capacity: Long,
    private val changed: (program: String, tokens: Long) -> Unit,
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
    private val byProgram = HashMap<String, LinkedHashSet<Block>>()
    private var uses = 0L

    /** Tokens in blocks. */
    var stored = 0L
        private set

    /** Tokens that running sequences have set aside. */
    var reserved = 0L
        private set

    private var pinned = 0L

    /** Tokens of each program's own blocks. */
    fun listing(): Map<String, Long> = byProgram.mapValues { (_, own) -> own.sumOf { it.span.tokens.toLong() } }

    /** Tokens of the longest cached prefix of [prompt]. */
    fun match(prompt: List<PromptSpan>): Int = found(prompt).sumOf { it.span.tokens }

    /** The spans of [program]'s own blocks. */
    fun spansOf(program: String): List<PromptSpan> = byProgram[program].orEmpty().sortedBy { it.depth }.map { it.span }

    private fun found(prompt: List<PromptSpan>): List<Block> =
        buildList { for (span in prompt) add(blocks[span.id] ?: break) }

    /** Pins the cached prefix of [prompt] and sets [extra] tokens aside; returns false when memory is too short. */
    fun reserve(
        prompt: List<PromptSpan>,
        extra: Long,
        program: String,
    ): Boolean {
        val prefix = found(prompt)
        val newlyPinned = prefix.filter { it.pins == 0 }.sumOf { it.span.tokens }
        if (pinned + newlyPinned + reserved + extra > capacity) return false
        uses++
        prefix.forEach { pin(it, program) }
        reserved += extra
        makeRoom()
        return true
    }

    /** Gives [extra] tokens back that [reserve] set aside. */
    fun release(extra: Long) {
        reserved -= extra
    }

    /** Unpins the first [count] blocks of [prompt]. */
    fun unpin(
        prompt: List<PromptSpan>,
        count: Int,
    ) = prompt.take(count).forEach { span ->
        val block = blocks.getValue(span.id)
        if (--block.pins == 0) {
            pinned -= span.tokens
            idle += block
        }
    }

    /** Blocks of [prompt] that are cached from its start. */
    fun depth(prompt: List<PromptSpan>): Int = found(prompt).size

    /** Stores the blocks of [prompt] that are missing, tagged with [program]. They are pinned if [pinnedToo]. */
    fun store(
        prompt: List<PromptSpan>,
        program: String,
        pinnedToo: Boolean,
    ) {
        uses++
        prompt.forEachIndexed { depth, span ->
            blocks[span.id]?.let(::touch)
            if (span.id in blocks) return@forEachIndexed
            val block = Block(span, depth).also { it.program = program }
            block.lastUse = uses
            blocks[span.id] = block
            byProgram.getOrPut(program) { LinkedHashSet() } += block
            stored += span.tokens
            if (!pinnedToo) idle += block
        }
        makeRoom()
        changed(program, tokensOf(program))
    }

    /** Pins the blocks of [prompt] from [from] on. */
    fun pinFrom(
        prompt: List<PromptSpan>,
        from: Int,
        program: String,
    ) = prompt.drop(from).forEach { pin(blocks.getValue(it.id), program) }

    /** Drops the blocks of [program] that no running sequence uses; returns the tokens that became free. */
    fun evict(program: String): Long {
        val gone = byProgram[program].orEmpty().filter { it.pins == 0 }
        gone.forEach(::remove)
        if (gone.isNotEmpty()) changed(program, tokensOf(program))
        return gone.sumOf { it.span.tokens.toLong() }
    }

    /** Drops all blocks that no running sequence uses. */
    fun clear() {
        while (idle.isNotEmpty()) remove(idle.first())
    }

    private fun pin(
        block: Block,
        program: String,
    ) {
        if (block.pins == 0) {
            idle -= block
            pinned += block.span.tokens
        }
        block.pins++
        block.lastUse = uses
        share(block, program)
    }

    /** A chain's blocks are used together, or else a chain would lose its start first. */
    private fun touch(block: Block) {
        val isIdle = idle.remove(block)
        block.lastUse = uses
        if (isIdle) idle += block
    }

    private fun share(
        block: Block,
        program: String,
    ) {
        val owner = block.program ?: return
        if (owner == program) return
        byProgram[owner]?.remove(block)
        block.program = null
    }

    private fun makeRoom() {
        while (stored + reserved > capacity) {
            val oldest = idle.firstOrNull() ?: return
            remove(oldest)
            oldest.program?.let { changed(it, tokensOf(it)) }
        }
    }

    private fun remove(block: Block) {
        idle -= block
        blocks -= block.span.id
        stored -= block.span.tokens
        val owner = block.program ?: return
        val own = byProgram[owner] ?: return
        own -= block
        if (own.isEmpty()) byProgram -= owner
    }

    private fun tokensOf(program: String): Long = byProgram[program].orEmpty().sumOf { it.span.tokens.toLong() }
}
