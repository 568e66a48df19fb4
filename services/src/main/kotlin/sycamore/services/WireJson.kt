package sycamore.services

import kotlinx.serialization.json.Json

/** Encodes and decodes the JSON that processes of this system exchange. Unknown fields are ignored. */
val wireJson: Json = Json { ignoreUnknownKeys = true }
