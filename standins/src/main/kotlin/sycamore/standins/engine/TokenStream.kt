package sycamore.standins.engine

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.ChunkedInputStream
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/**
 * The answer of [running] as a stream of server-sent events. Each token is sent as soon as it is generated.
 *
 * @param offset the number of bytes at the start of the answer's text to leave out.
 */
internal class TokenStream(
    private val runner: EngineRunner,
    private val running: RunningCall,
    private val prompt: ChatPrompt,
    offset: Int,
) : ChunkedInputStream() {
    private val format = ChatResponseFormat(prompt)
    private var sentTokens = 0
    private var charsToSkip = offset
    private var isDone = false

    override fun next(): ByteArray? = if (isDone) null else nextEvents().encodeToByteArray()

    private fun nextEvents(): String {
        val generated = runBlocking { runner.trackProgress { awaitNewTokens() } }
        val text = (sentTokens until generated).joinToString("") { deltaOf(prompt.words[it]) }
        sentTokens = generated
        if (generated < prompt.words.size) return text
        isDone = true
        return text + format.finalEvents(running)
    }

    private fun deltaOf(word: String): String {
        val cut = minOf(charsToSkip, word.length)
        charsToSkip -= cut
        return if (cut == word.length) "" else format.delta(word.drop(cut))
    }

    private suspend fun awaitNewTokens(): Int {
        while (running.generatedTokens.value <= sentTokens) {
            if (running.end.isCompleted && running.end.await() !is CallEnd.Finished) throw IOException("cancelled")
            withTimeoutOrNull(POLL_INTERVAL) { running.generatedTokens.first { it > sentTokens } }
        }
        return running.generatedTokens.value
    }

    private companion object {
        val POLL_INTERVAL = 100.milliseconds
    }
}
