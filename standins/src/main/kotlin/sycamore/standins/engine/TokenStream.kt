package sycamore.standins.engine

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.io.InputStream
import kotlin.time.Duration.Companion.milliseconds

/** The answer of [running] as server-sent events from byte [offset] of its text on, each as soon as it is generated. */
internal class TokenStream(
    private val runner: EngineRunner,
    private val running: RunningCall,
    private val prompt: ChatPrompt,
    offset: Int,
) : InputStream() {
    private val events = ChatEvents(prompt)
    private var buffer = ByteArray(0)
    private var position = 0
    private var sent = 0
    private var skip = offset
    private var isDone = false

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(
        target: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        while (position == buffer.size) {
            if (isDone) return -1
            buffer = next().encodeToByteArray()
            position = 0
        }
        val count = minOf(length, buffer.size - position)
        buffer.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    private fun next(): String {
        val ready = runBlocking { runner.watch { awaitMore() } }
        val text = (sent until ready).joinToString("") { textOf(prompt.words[it]) }
        sent = ready
        if (ready < prompt.words.size) return text
        isDone = true
        return text + events.last(running)
    }

    private fun textOf(word: String): String {
        val cut = minOf(skip, word.length)
        skip -= cut
        return if (cut == word.length) "" else events.delta(word.drop(cut))
    }

    private suspend fun awaitMore(): Int {
        while (running.produced.value <= sent) {
            if (running.end.isCompleted && running.end.await() !is CallEnd.Finished) throw IOException("cancelled")
            withTimeoutOrNull(POLL) { running.produced.first { it > sent } }
        }
        return running.produced.value
    }

    private companion object {
        const val BYTE_MASK = 0xff
        val POLL = 100.milliseconds
    }
}
