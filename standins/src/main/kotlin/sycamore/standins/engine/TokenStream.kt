package sycamore.standins.engine

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.ChunkedInputStream
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** The answer of [running] as server-sent events from byte [offset] of its text on, each as soon as it is generated. */
internal class TokenStream(
    private val runner: EngineRunner,
    private val running: RunningCall,
    private val prompt: ChatPrompt,
    offset: Int,
) : ChunkedInputStream() {
    private val events = ChatEvents(prompt)
    private var sent = 0
    private var skip = offset
    private var isDone = false

    override fun next(): ByteArray? = if (isDone) null else generated().encodeToByteArray()

    private fun generated(): String {
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
        val POLL = 100.milliseconds
    }
}
