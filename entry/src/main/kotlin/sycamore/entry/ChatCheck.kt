package sycamore.entry

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import sycamore.programs.ChatBody

/** What reading the body of a chat completion gave. */
internal sealed interface ReadChat {
    /** It is right. */
    class Valid(
        val body: ChatBody,
    ) : ReadChat

    /** It is wrong in each of [findings]. */
    data class Invalid(
        val findings: List<String>,
    ) : ReadChat
}

/** Checks the body of a chat completion and collects all that is wrong in it, each with its path. */
internal class ChatCheck private constructor(
    private val fields: JsonObject,
) {
    private val findings = ArrayList<String>()

    private fun check(): List<String> {
        expect("model", "a model's name") { it is JsonPrimitive && it.isString && it.content.isNotEmpty() }
        expect("messages", "an array of at least one message") { it is JsonArray && it.isNotEmpty() }
        (fields["messages"] as? JsonArray)?.forEachIndexed(::checkMessage)
        allow("stream", "true or false") { it is JsonPrimitive && it.booleanOrNull != null }
        allow("max_tokens", "a whole number from 1", ::isCount)
        allow("max_completion_tokens", "a whole number from 1", ::isCount)
        allow("n", "1, since each call is answered with one choice") { it is JsonPrimitive && it.longOrNull == 1L }
        allow("logprobs", "false, since answers carry no log probabilities") {
            it is JsonPrimitive && it.booleanOrNull == false
        }
        return findings
    }

    private fun checkMessage(
        index: Int,
        message: JsonElement,
    ) {
        val role = (message as? JsonObject)?.get("role")
        val isRole = role is JsonPrimitive && role.isString && role.content in roles
        if (!isRole) add("messages[$index].role", role, "one of ${roles.joinToString { "'$it'" }}")
    }

    private fun isCount(element: JsonElement) = element is JsonPrimitive && (element.longOrNull ?: 0) >= 1

    private fun expect(
        key: String,
        expected: String,
        isRight: (JsonElement) -> Boolean,
    ) {
        val found = fields[key]
        if (found == null || !isRight(found)) add(key, found, expected)
    }

    private fun allow(
        key: String,
        expected: String,
        isRight: (JsonElement) -> Boolean,
    ) {
        val found = fields[key]
        if (found != null && found != JsonNull && !isRight(found)) add(key, found, expected)
    }

    private fun add(
        path: String,
        found: JsonElement?,
        expected: String,
    ) {
        val text = found?.toString()?.take(MAX_FOUND_CHARS) ?: "nothing"
        findings += "$path: found $text, expected $expected"
    }

    companion object {
        private const val MAX_FOUND_CHARS = 60
        private val roles = setOf("system", "developer", "user", "assistant", "tool")

        /** Reads [bytes] as the body of a chat completion. */
        fun read(bytes: ByteArray): ReadChat {
            val fields = parse(bytes) ?: return ReadChat.Invalid(listOf("body: expected a JSON object"))
            val findings = ChatCheck(fields).check()
            val body = if (findings.isEmpty()) ChatBody.fromFields(fields) else null
            return if (body == null) ReadChat.Invalid(findings) else ReadChat.Valid(body)
        }

        private fun parse(bytes: ByteArray): JsonObject? =
            try {
                Json.parseToJsonElement(bytes.decodeToString()) as? JsonObject
            } catch (_: SerializationException) {
                null
            }
    }
}
