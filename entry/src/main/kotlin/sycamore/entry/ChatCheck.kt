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

/** The result of reading the body of a chat completion. */
internal sealed interface ChatBodyResult {
    /** The body is valid. */
    class Valid(
        val body: ChatBody,
    ) : ChatBodyResult

    /** Each of [findings] is a field of the body that is not valid. */
    data class Invalid(
        val findings: List<String>,
    ) : ChatBodyResult
}

/** Validates the body of a chat completion and collects a finding, with its path, for each invalid field. */
internal class ChatCheck private constructor(
    private val fields: JsonObject,
) {
    private val findings = ArrayList<String>()

    private fun check(): List<String> {
        checkRequired("model", "a model's name") { it is JsonPrimitive && it.isString && it.content.isNotEmpty() }
        checkRequired("messages", "an array of at least one message") { it is JsonArray && it.isNotEmpty() }
        (fields["messages"] as? JsonArray)?.forEachIndexed(::checkMessage)
        checkOptional("stream", "true or false") { it is JsonPrimitive && it.booleanOrNull != null }
        checkOptional("max_tokens", "a whole number from 1", ::isCount)
        checkOptional("max_completion_tokens", "a whole number from 1", ::isCount)
        checkOptional("n", "1, since each call is answered with one choice") {
            it is JsonPrimitive && it.longOrNull == 1L
        }
        checkOptional("logprobs", "false, since answers carry no log probabilities") {
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

    private fun checkRequired(
        key: String,
        expected: String,
        isValid: (JsonElement) -> Boolean,
    ) {
        val found = fields[key]
        if (found == null || !isValid(found)) add(key, found, expected)
    }

    private fun checkOptional(
        key: String,
        expected: String,
        isValid: (JsonElement) -> Boolean,
    ) {
        val found = fields[key]
        if (found != null && found != JsonNull && !isValid(found)) add(key, found, expected)
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
        fun read(bytes: ByteArray): ChatBodyResult {
            val fields = parse(bytes) ?: return ChatBodyResult.Invalid(listOf("body: expected a JSON object"))
            val findings = ChatCheck(fields).check()
            val body = if (findings.isEmpty()) ChatBody.fromFields(fields) else null
            return if (body == null) ChatBodyResult.Invalid(findings) else ChatBodyResult.Valid(body)
        }

        private fun parse(bytes: ByteArray): JsonObject? =
            try {
                Json.parseToJsonElement(bytes.decodeToString()) as? JsonObject
            } catch (_: SerializationException) {
                null
            }
    }
}
