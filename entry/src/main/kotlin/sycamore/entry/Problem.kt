package sycamore.entry

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.programs.Refusal

/** Refusals as `application/problem+json`, with the error object that chat clients expect beside it. */
internal object Problem {
    /** The response for [refusal]. */
    fun response(refusal: Refusal): Response {
        val response =
            Response(Status(refusal.status, null))
                .header("content-type", "application/problem+json")
                .header("sycamore-outcome", refusal.outcome.text)
                .body(body(refusal))
        val wait = refusal.retryAfter ?: return response
        return response.header("retry-after", wait.inWholeSeconds.coerceAtLeast(1).toString())
    }

    private fun body(refusal: Refusal): String =
        buildJsonObject {
            put("title", JsonPrimitive(refusal.outcome.text))
            put("status", JsonPrimitive(refusal.status))
            put("detail", JsonPrimitive(refusal.detail))
            put("outcome", JsonPrimitive(refusal.outcome.text))
            put("error", error(refusal))
        }.toString()

    private fun error(refusal: Refusal) =
        buildJsonObject {
            put("message", JsonPrimitive(refusal.detail))
            put("type", JsonPrimitive(refusal.outcome.text))
            put("code", JsonPrimitive(refusal.status))
        }
}
