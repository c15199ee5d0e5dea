/*
 * The requests that wait at one gate, with the callers that their answers go to.
 */
package rhubarbspool.router

import rhubarbspool.gate.GateRequest

/** A request at the gate; [call] names the run whose answer it waits for. */
internal class GateMember(
    val request: GateRequest,
    val incoming: IncomingRequest,
    val sink: AnswerSink,
    var call: Long = request.id,
)

/** Members of one gate, found by their request and by their call. */
internal class GateMembers {
    private val byRequest = HashMap<Long, GateMember>()
    private val byCall = HashMap<Long, LinkedHashMap<Long, GateMember>>()

    val isEmpty: Boolean get() = byRequest.isEmpty()

    operator fun get(request: Long): GateMember? = byRequest[request]

    /** Members that wait for [call], the first to come first. */
    fun of(call: Long): List<GateMember> = byCall[call]?.values?.toList() ?: emptyList()

    fun add(member: GateMember) {
        byRequest[member.request.id] = member
        byCall.getOrPut(member.call) { LinkedHashMap() }[member.request.id] = member
    }

    /** Lets [member] wait for [call] instead. */
    fun attach(member: GateMember, call: Long) {
        remove(member.request.id)
        member.call = call
        add(member)
    }

    fun remove(request: Long): GateMember? {
        val member = byRequest.remove(request) ?: return null
        val others = byCall.getValue(member.call)
        others.remove(request)
        if (others.isEmpty()) byCall.remove(member.call)
        return member
    }
}
