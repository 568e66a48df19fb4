package sycamore.bench.history

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.launch
import sycamore.host.UpstreamEvent
import sycamore.links.Forward
import sycamore.model.Digest
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.model.Upstream
import sycamore.programs.ChatBody
import sycamore.programs.ChatMessage
import sycamore.programs.Usage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The model engines and plain services of a run. They go on when the daemon beside them dies.
 *
 * An engine's answer depends on its prompt alone, so that a repeat gives the same one.
 */
internal class Upstreams(
    private val scope: CoroutineScope,
    private val recorder: Recorder,
    private val random: Random,
    private val isHung: (HostName) -> Boolean,
) {
    private val caches = HashMap<HostName, MutableSet<Tag>>()
    private val tags = HashMap<ProgramId, Tag>()

    /** The programs that the engine beside [host] holds cache of. */
    fun cached(host: HostName): Set<Tag> = caches[host].orEmpty().toSet()

    /** Drops the cache of [program] from the engine beside [host]; false while the engine hangs. */
    fun evict(
        host: HostName,
        program: ProgramId,
    ): Boolean {
        if (isHung(host)) return false
        tags[program]?.let { caches[host]?.remove(it) }
        return true
    }

    /** Calls a model engine; see [sycamore.host.CallUpstream]. */
    fun engine(
        upstream: Upstream,
        forward: Forward,
    ): Flow<UpstreamEvent> {
        val body = ChatBody.parse(forward.request.body) ?: error("expected a chat body, found ${forward.request}")
        return running { events -> complete(upstream.host, forward, body, events) }
    }

    private suspend fun complete(
        host: HostName,
        forward: Forward,
        body: ChatBody,
        events: Channel<UpstreamEvent>,
    ) {
        val prompt = body.messages.filterNot { it.role == "assistant" && it === body.messages.last() }
        val promptTokens = prompt.sumOf { tokens(it.content) }
        recorder.record { EngineStarted(it, host, forward.id, prompt, promptTokens) }
        tags[forward.program] = tagOf(prompt)
        caches.getOrPut(host) { HashSet() } += tagOf(prompt)
        val pieces = pieces(prompt).take(body.maxTokens.toInt())
        val text = pieces.joinToString("")
        recorder.record { EngineFinished(it, host, forward.id, text, pieces.size.toLong()) }
        events.send(UpstreamEvent.Head(OK, TEXT))
        delay(PREFILL)
        stream(host, pieces, forward.released, events)
        val reason = if (pieces.size.toLong() == body.maxTokens) "length" else "stop"
        events.send(UpstreamEvent.End(OK, TEXT, null, reason, Usage(promptTokens, pieces.size.toLong())))
    }

    private suspend fun stream(
        host: HostName,
        pieces: List<String>,
        released: Long,
        events: Channel<UpstreamEvent>,
    ) {
        var offset = 0L
        for (piece in pieces) {
            while (isHung(host)) delay(HUNG_CHECK)
            delay(TOKEN)
            val bytes = piece.encodeToByteArray()
            val skip = (released - offset).coerceIn(0L, bytes.size.toLong()).toInt()
            offset += bytes.size
            if (skip < bytes.size) events.send(UpstreamEvent.Bytes(bytes.copyOfRange(skip, bytes.size)))
        }
    }

    /** Calls a plain service; see [sycamore.host.CallUpstream]. */
    fun order(
        upstream: Upstream,
        forward: Forward,
    ): Flow<UpstreamEvent> =
        running { events ->
            recorder.record { OrderArrived(it, upstream.host, forward.id) }
            delay(random.nextInt(ORDER_MILLIS).milliseconds)
            while (isHung(upstream.host)) delay(HUNG_CHECK)
            val body = forward.request.body.decodeToString()
            val answer = "done:$body"
            recorder.record { OrderRan(it, upstream.host, forward.id, body, answer) }
            delay(random.nextInt(ORDER_MILLIS).milliseconds)
            events.send(UpstreamEvent.Head(CREATED, TEXT))
            events.send(UpstreamEvent.Bytes(answer.encodeToByteArray()))
            events.send(UpstreamEvent.End(CREATED, TEXT))
        }

    private fun running(work: suspend (Channel<UpstreamEvent>) -> Unit): Flow<UpstreamEvent> {
        val events = Channel<UpstreamEvent>(Channel.UNLIMITED)
        scope.launch {
            work(events)
            events.close()
        }
        return events.consumeAsFlow()
    }

    private fun pieces(prompt: List<ChatMessage>): List<String> {
        val digest = Digest.sha256(prompt.joinToString("\n") { "${it.role}:${it.content}" }.encodeToByteArray()).hex
        val count = MIN_PIECES + digest.take(2).toInt(radix = 16) % MORE_PIECES
        return digest.windowed(PIECE, PIECE).cycle(count)
    }

    private fun List<String>.cycle(count: Int): List<String> = List(count) { this[it % size] }

    companion object {
        private const val OK = 200
        private const val CREATED = 201
        private const val TEXT = "text/plain"
        private const val PIECE = 4
        private const val MIN_PIECES = 4
        private const val MORE_PIECES = 24
        private const val ORDER_MILLIS = 40
        private const val CHARACTERS_PER_TOKEN = 4
        private val PREFILL: Duration = 50.milliseconds
        private val TOKEN: Duration = 20.milliseconds
        private val HUNG_CHECK: Duration = 200.milliseconds

        /** Tokens of [text], as an engine counts them. */
        fun tokens(text: String): Long = (text.length / CHARACTERS_PER_TOKEN + 1).toLong()

        /** The tag that the caller wrote at the head of its first message. */
        fun tagOf(prompt: List<ChatMessage>): Tag = Tag(prompt.first { it.role == "user" }.content.substringBefore(' '))
    }
}
