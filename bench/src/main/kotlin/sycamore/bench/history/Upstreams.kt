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
 * The simulated model engines and plain services of a run. They continue when the daemon beside them is killed.
 *
 * An engine's answer depends on its prompt alone, so that a repeated call gets the same answer.
 *
 * @property isHung whether the upstream beside a host does not respond at present.
 */
internal class Upstreams(
    private val scope: CoroutineScope,
    private val recorder: Recorder,
    private val random: Random,
    private val isHung: (HostName) -> Boolean,
) {
    private val caches = HashMap<HostName, MutableSet<Tag>>()
    private val tags = HashMap<ProgramId, Tag>()

    /** The programs of which the engine beside [host] holds cache entries. */
    fun cachedPrograms(host: HostName): Set<Tag> = caches[host].orEmpty().toSet()

    /** Evicts the cache of [program] from the engine beside [host]. Returns false if the engine hangs. */
    fun evict(
        host: HostName,
        program: ProgramId,
    ): Boolean {
        if (isHung(host)) return false
        tags[program]?.let { caches[host]?.remove(it) }
        return true
    }

    /** Calls a model engine; an implementation of [sycamore.host.CallUpstream]. */
    fun callEngine(
        upstream: Upstream,
        forward: Forward,
    ): Flow<UpstreamEvent> {
        val body = ChatBody.parse(forward.request.body) ?: error("expected a chat body, found ${forward.request}")
        return runDetached { events -> complete(upstream.host, forward, body, events) }
    }

    private suspend fun complete(
        host: HostName,
        forward: Forward,
        body: ChatBody,
        events: Channel<UpstreamEvent>,
    ) {
        val prompt = body.messages.filterNot { it.role == "assistant" && it === body.messages.last() }
        val promptTokens = prompt.sumOf { countTokens(it.content) }
        recorder.record { EngineStarted(it, host, forward.id, prompt, promptTokens) }
        tags[forward.program] = tagOf(prompt)
        caches.getOrPut(host) { HashSet() } += tagOf(prompt)
        val answerChunks = answerChunks(prompt).take(body.maxTokens.toInt())
        val text = answerChunks.joinToString("")
        recorder.record { EngineFinished(it, host, forward.id, text, answerChunks.size.toLong()) }
        events.send(UpstreamEvent.Head(OK, TEXT))
        delay(PREFILL_TIME)
        streamChunks(host, answerChunks, forward.released, events)
        val reason = if (answerChunks.size.toLong() == body.maxTokens) "length" else "stop"
        events.send(UpstreamEvent.End(OK, TEXT, null, reason, Usage(promptTokens, answerChunks.size.toLong())))
    }

    private suspend fun streamChunks(
        host: HostName,
        answerChunks: List<String>,
        released: Long,
        events: Channel<UpstreamEvent>,
    ) {
        var offset = 0L
        for (chunk in answerChunks) {
            while (isHung(host)) delay(HANG_POLL_INTERVAL)
            delay(TIME_PER_CHUNK)
            val bytes = chunk.encodeToByteArray()
            val skip = (released - offset).coerceIn(0L, bytes.size.toLong()).toInt()
            offset += bytes.size
            if (skip < bytes.size) events.send(UpstreamEvent.Bytes(bytes.copyOfRange(skip, bytes.size)))
        }
    }

    /** Calls a plain service; an implementation of [sycamore.host.CallUpstream]. */
    fun callOrderService(
        upstream: Upstream,
        forward: Forward,
    ): Flow<UpstreamEvent> =
        runDetached { events ->
            recorder.record { OrderArrived(it, upstream.host, forward.id) }
            delay(random.nextInt(MAX_ORDER_STEP_MILLIS).milliseconds)
            while (isHung(upstream.host)) delay(HANG_POLL_INTERVAL)
            val body = forward.request.body.decodeToString()
            val answer = "done:$body"
            recorder.record { OrderRan(it, upstream.host, forward.id, body, answer) }
            delay(random.nextInt(MAX_ORDER_STEP_MILLIS).milliseconds)
            events.send(UpstreamEvent.Head(CREATED, TEXT))
            events.send(UpstreamEvent.Bytes(answer.encodeToByteArray()))
            events.send(UpstreamEvent.End(CREATED, TEXT))
        }

    private fun runDetached(work: suspend (Channel<UpstreamEvent>) -> Unit): Flow<UpstreamEvent> {
        val events = Channel<UpstreamEvent>(Channel.UNLIMITED)
        scope.launch {
            work(events)
            events.close()
        }
        return events.consumeAsFlow()
    }

    private fun answerChunks(prompt: List<ChatMessage>): List<String> {
        val digest = Digest.sha256(prompt.joinToString("\n") { "${it.role}:${it.content}" }.encodeToByteArray()).hex
        val count = MIN_CHUNKS + digest.take(2).toInt(radix = 16) % CHUNK_COUNT_VARIANTS
        return digest.windowed(CHUNK_CHARACTERS, CHUNK_CHARACTERS).cycle(count)
    }

    private fun List<String>.cycle(count: Int): List<String> = List(count) { this[it % size] }

    companion object {
        private const val OK = 200
        private const val CREATED = 201
        private const val TEXT = "text/plain"
        private const val CHUNK_CHARACTERS = 4
        private const val MIN_CHUNKS = 4
        private const val CHUNK_COUNT_VARIANTS = 24
        private const val MAX_ORDER_STEP_MILLIS = 40
        private const val CHARACTERS_PER_TOKEN = 4
        private val PREFILL_TIME: Duration = 50.milliseconds
        private val TIME_PER_CHUNK: Duration = 20.milliseconds
        private val HANG_POLL_INTERVAL: Duration = 200.milliseconds

        /** The number of tokens of [text], as the simulated engines count them. */
        fun countTokens(text: String): Long = (text.length / CHARACTERS_PER_TOKEN + 1).toLong()

        /** The tag of a program, which its caller writes at the beginning of its first message. */
        fun tagOf(prompt: List<ChatMessage>): Tag = Tag(prompt.first { it.role == "user" }.content.substringBefore(' '))
    }
}
