package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.ProgramId

/** Operator's tool to host: what did the gate there decide about [program], and on what grounds? */
@Serializable
@SerialName("why?")
data class AskWhy(
    val program: ProgramId,
) : Message

/** Answers [AskWhy]: one text per decision, oldest first. */
@Serializable
@SerialName("why")
data class Why(
    val program: ProgramId,
    val decisions: List<String>,
) : Message
