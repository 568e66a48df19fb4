package sycamore.host

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Done
import sycamore.links.EndProgram
import sycamore.links.Fence
import sycamore.links.Forward
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.ProgramView
import sycamore.links.Refused
import sycamore.links.ShowProgram
import sycamore.links.StartProgram
import sycamore.links.Whole
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.Epoch
import sycamore.model.HomeId
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.ServiceName
import sycamore.programs.ChatBody
import sycamore.programs.ChatMessage
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import sycamore.programs.Request
import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Sends a call to a gate and yields its answer. */
internal typealias ToGate = (forward: Forward) -> Flow<Message>

/** Keeps the programs that live on this host: their order and history. */
internal class Home(
    private val self: HomeId,
    private val toGate: ToGate,
) {
    private val programs = ConcurrentHashMap<ProgramId, Conversation>()
    private val nextNumber = AtomicLong()

    private class Conversation(
        val caller: CallerName,
        val service: ServiceName,
        val parent: ProgramId?,
    ) {
        val turns = Mutex()
        var turn = 0
        var history: List<ChatMessage> = emptyList()
    }

    /** Starts the program that [start] asks for. */
    fun start(
        start: StartProgram,
        budget: Budget,
    ): Message {
        val id = ProgramId(self, nextNumber.incrementAndGet())
        val program = Conversation(start.caller, start.service, start.parent)
        programs[id] = program
        return view(id, program, budget)
    }

    /** Shows the program that [show] asks for to its own account. */
    fun show(
        show: ShowProgram,
        budgetOf: (ServiceName) -> Budget,
    ): Message {
        val program = programs[show.program]?.takeIf { it.caller == show.caller }
        if (program == null) return Refused(CallId.random(), noProgram(show.program))
        return view(show.program, program, budgetOf(program.service))
    }

    /** Ends the program that [end] asks for. */
    fun end(end: EndProgram): Message {
        val program = programs[end.program]?.takeIf { it.caller == end.caller }
        if (program == null) return Refused(CallId.random(), noProgram(end.program))
        programs.remove(end.program)
        return Done
    }

    private fun view(
        id: ProgramId,
        program: Conversation,
        budget: Budget,
    ) = ProgramView(
        program = id,
        service = program.service,
        root = program.parent ?: id,
        parent = program.parent,
        turns = program.turn,
        budget = budget,
        spentCalls = program.turn.toLong(),
    )

    private fun noProgram(id: ProgramId) = Refusal(Outcome.NOT_RUN, NOT_FOUND, "no program $id lives here")

    /** Runs [call] of [service] in its program's order. */
    fun run(
        service: Service,
        call: Call,
    ): Flow<Message> =
        flow {
            val id = call.program ?: ProgramId(self, nextNumber.incrementAndGet())
            val program =
                if (call.program == null) {
                    Conversation(call.caller, call.service, call.parent).also { programs[id] = it }
                } else {
                    programs[id]?.takeIf { it.caller == call.caller }
                }
            if (program == null) {
                emit(Refused(call.id, noProgram(id)))
                return@flow
            }
            program.turns.withLock { runTurn(service, call, id, program).collect { emit(it) } }
        }

    private fun runTurn(
        service: Service,
        call: Call,
        id: ProgramId,
        program: Conversation,
    ): Flow<Message> =
        flow {
            program.turn++
            val text = ByteArrayOutputStream()
            val prompt = if (service.kind == ServiceKind.MODEL) prompt(call, program) else null
            toGate(forward(service, call, id, prompt)).collect { reply ->
                if (reply is Part) text.write(reply.bytes)
                if (reply is Whole && prompt != null) program.history = prompt.messages + answer(reply, text)
                emit(if (reply is Begun) reply.copy(turn = program.turn) else reply)
            }
        }

    private class Prompt(
        val body: ChatBody,
        val messages: List<ChatMessage>,
    )

    private fun prompt(
        call: Call,
        program: Conversation,
    ): Prompt? {
        val body = ChatBody.parse(call.request.body) ?: return null
        return Prompt(body, if (call.append) program.history + body.messages else body.messages)
    }

    private fun answer(
        whole: Whole,
        text: ByteArrayOutputStream,
    ) = ChatMessage("assistant", text.toByteArray().decodeToString(), whole.answer.toolCalls)

    private fun forward(
        service: Service,
        call: Call,
        id: ProgramId,
        prompt: Prompt?,
    ): Forward {
        val request = prompt?.let { Request("POST", CHAT_PATH, body = it.body.with(it.messages, it.body.maxTokens)) }
        return Forward(
            id = call.id,
            fence = Fence(self, Epoch.FIRST),
            program = id,
            caller = call.caller,
            service = service.name,
            request = request ?: call.request,
            idempotent =
                service.kind == ServiceKind.MODEL ||
                    service.contract(call.request.method, call.request.path).idempotent,
            promptTokens = 0,
            released = call.released,
            timeLeft = call.timeLeft,
        )
    }

    private companion object {
        const val NOT_FOUND = 404
        const val CHAT_PATH = "/v1/chat/completions"
    }
}
