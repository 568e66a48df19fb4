package sycamore.host

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOn
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.longOrNull
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.links.Forward
import sycamore.model.Upstream
import sycamore.programs.Usage
import java.io.IOException

/** Calls model engines over HTTP and reads their server-sent events. */
internal class HttpEngine(
    private val http: HttpHandler,
    private val blocking: CoroutineDispatcher,
) {
    /** See [CallUpstream]. */
    fun call(
        upstream: Upstream,
        forward: Forward,
    ): Flow<UpstreamEvent> =
        flow {
            val request =
                Request(Method.POST, "http://${upstream.address}${forward.request.path}")
                    .header("content-type", forward.request.contentType)
                    .header("sycamore-call", forward.id.value)
                    .header("sycamore-program", forward.program.toString())
                    .body(forward.request.body.inputStream())
            val response = http(request)
            emit(UpstreamEvent.Head(response.status.code, TEXT))
            if (response.status.successful) {
                val events = ChatEvents()
                response.body.stream.bufferedReader().useLines { lines ->
                    lines.forEach { line -> events.read(line)?.let { emit(UpstreamEvent.Bytes(it)) } }
                }
                emit(events.end(response.status.code))
            } else {
                emit(UpstreamEvent.Bytes(response.body.stream.readBytes()))
                emit(UpstreamEvent.End(response.status.code, TEXT))
            }
        }.flowOn(blocking)

    /** Parses the server-sent events of one chat completion. */
    private class ChatEvents {
        private var usage = Usage()
        private var finishReason = ""
        private var toolCalls: String? = null
        private var isDone = false

        /** Returns the text of the answer in [line], or null if there is none. */
        fun read(line: String): ByteArray? {
            if (!line.startsWith(DATA_PREFIX)) return null
            val data = line.removePrefix(DATA_PREFIX).trim()
            if (data == DONE) {
                isDone = true
                return null
            }
            return readChunk(Json.parseToJsonElement(data).jsonObject)
        }

        private fun readChunk(chunk: JsonObject): ByteArray? {
            (chunk["usage"] as? JsonObject)?.let { usage = readUsage(it) }
            val choice = (chunk["choices"] as? JsonArray)?.firstOrNull()?.jsonObject ?: return null
            (choice["finish_reason"] as? JsonPrimitive)?.contentOrNull?.let { finishReason = it }
            val delta = choice["delta"] as? JsonObject ?: return null
            (delta["tool_calls"] as? JsonArray)?.let { toolCalls = it.toString() }
            val text = (delta["content"] as? JsonPrimitive)?.contentOrNull
            return text?.takeIf { it.isNotEmpty() }?.encodeToByteArray()
        }

        private fun readUsage(fields: JsonObject): Usage {
            val details = fields["prompt_tokens_details"] as? JsonObject
            return Usage(
                promptTokens = fields.long("prompt_tokens"),
                completionTokens = fields.long("completion_tokens"),
                cachedTokens = details?.long("cached_tokens") ?: 0,
            )
        }

        private fun JsonObject.long(key: String): Long = (this[key] as? JsonPrimitive)?.longOrNull ?: 0

        fun end(status: Int): UpstreamEvent.End {
            if (!isDone) throw IOException("expected '$DONE' at the end of the engine's answer, found none")
            return UpstreamEvent.End(status, TEXT, toolCalls, finishReason, usage)
        }
    }

    private companion object {
        const val TEXT = "text/plain"
        const val DATA_PREFIX = "data:"
        const val DONE = "[DONE]"
    }
}
