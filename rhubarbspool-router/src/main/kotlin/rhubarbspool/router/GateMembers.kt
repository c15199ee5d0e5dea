/*
 * The requests at one gate, queued or in flight, with the sinks that their answers go to.
 */
package rhubarbspool.router

import rhubarbspool.gate.GateRequest

/** A request at the gate; [call] is the id of the run whose answer it waits for. */
internal class GateMember(
    val request: GateRequest,
    val incoming: IncomingRequest,
    val sink: AnswerSink,
    var call: Long = request.id,
)

/** Requests of one gate, indexed by request id and by call id. */
internal class GateMembers {
    private val byRequest = HashMap<Long, GateMember>()
    private val byCall = HashMap<Long, LinkedHashMap<Long, GateMember>>()

    val isEmpty: Boolean get() = byRequest.isEmpty()

    operator fun get(request: Long): GateMember? = byRequest[request]

    /** Requests that wait for [call], in order of arrival. */
    fun of(call: Long): List<GateMember> = byCall[call]?.values?.toList() ?: emptyList()

    fun add(member: GateMember) {
        byRequest[member.request.id] = member
        byCall.getOrPut(member.call) { LinkedHashMap() }[member.request.id] = member
    }

    /** Moves [member] to [call], whose answer it shares. */
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
