package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.ProgramId

/** Request of sycamorectl to a host for the recent decisions of its gate on [program]. Answered by [GateDecisions]. */
@Serializable
@SerialName("why?")
data class GetGateDecisions(
    val program: ProgramId,
) : Message

/**
 * Reply to [GetGateDecisions].
 *
 * @property decisions a text for each decision with its reasons, oldest first.
 */
@Serializable
@SerialName("why")
data class GateDecisions(
    val program: ProgramId,
    val decisions: List<String>,
) : Message
