package sycamore.entry

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.model.Configuration
import sycamore.model.ModelName
import sycamore.model.Service
import sycamore.model.ServiceKind

/** Lists the models that callers may request. */
internal object ModelsHttp {
    /** Answers with all models of all model services, sorted by name. */
    fun list(request: CallerRequest): Response {
        val services = request.configuration.services.filter { it.kind == ServiceKind.MODEL }
        val models =
            services.flatMap { service ->
                models(service).map { ModelEntry(it.value, ownedBy = service.name.value) }
            }
        return Response(Status.OK)
            .header("content-type", "application/json")
            .body(Json.encodeToString(ModelList(models.sortedBy { it.id }.distinctBy { it.id })))
    }

    /** The names of all models in [configuration], sorted. */
    fun names(configuration: Configuration): List<ModelName> =
        configuration.services
            .filter { it.kind == ServiceKind.MODEL }
            .flatMap(::models)
            .distinct()
            .sortedBy { it.value }

    private fun models(service: Service): List<ModelName> = service.upstreams.flatMap { it.models }.distinct()
}

@Serializable
private data class ModelList(
    val data: List<ModelEntry>,
    @EncodeDefault @SerialName("object") val type: String = "list",
)

@Serializable
private data class ModelEntry(
    val id: String,
    @SerialName("owned_by") val ownedBy: String,
    @EncodeDefault @SerialName("object") val type: String = "model",
    @EncodeDefault val created: Long = 0,
)
