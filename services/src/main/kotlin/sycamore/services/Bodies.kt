package sycamore.services

import kotlinx.serialization.json.Json

/** Encodes and decodes JSON that the system's own programs exchange. Fields that are not known are passed over. */
val bodies: Json = Json { ignoreUnknownKeys = true }
