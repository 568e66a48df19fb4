package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.ProgramId
import sycamore.model.ServiceName
import sycamore.programs.Usage
import kotlin.time.Instant

/**
 * Entry to home: start a program that has no call yet. Answered by [ProgramView] or [Refused].
 *
 * @property id names the request; a repeat under the same id yields the same program.
 * @property service the service whose budget the program gets.
 * @property parent the program that it is a sub-agent of, or null for a program of its own.
 */
@Serializable
@SerialName("start")
data class StartProgram(
    val id: CallId,
    val caller: CallerName,
    val service: ServiceName,
    val parent: ProgramId? = null,
) : Message

/** Entry to home: how is the program? Answered by [ProgramView], or [Refused] when [caller] has no such program. */
@Serializable
@SerialName("show")
data class ShowProgram(
    val program: ProgramId,
    val caller: CallerName,
) : Message

/**
 * A program as its own account sees it.
 *
 * @property root the program whose budget it spends; itself unless it is a sub-agent.
 * @property turns calls that took their turn.
 * @property inProgress calls that have not ended.
 * @property usage tokens of the calls that ended.
 * @property budget upper bounds, shared by the root and its sub-agents.
 * @property spentTokens tokens that the root and its sub-agents have spent or reserved.
 * @property spentCalls calls that the root and its sub-agents have made.
 * @property ended why the program ended, or null while it runs.
 */
@Serializable
@SerialName("program")
data class ProgramView(
    val program: ProgramId,
    val service: ServiceName,
    val root: ProgramId,
    val parent: ProgramId? = null,
    val turns: Int = 0,
    val inProgress: Int = 0,
    val usage: Usage = Usage(),
    val budget: Budget = Budget(),
    val spentTokens: Long = 0,
    val spentCalls: Long = 0,
    val startedAt: Instant? = null,
    val ended: String? = null,
) : Message
