/*
 * Admission control of a gate: refuses requests early that can't meet their deadline.
 */
package rhubarbspool.gate

import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError

/** Decides whether one gate accepts a request. */
internal class Admission(private val state: GateState) {
    /** Why [request] is refused at [now] whatever the load; null if it is not. */
    fun refusal(request: GateRequest, now: Long): RequestError? = when {
        !state.open -> gateMoved()
        state.suspects.isQuarantined(request.fingerprint, now) -> quarantineError(request, now)
        request.deadlineAt <= now -> RequestError(ErrorKind.DEADLINE_BEFORE_RUN, retryAfterMilliseconds = 0)
        else -> null
    }

    /**
     * The overload error if [request] can't be added to the queue at [now]; null if it can. It always can while a slot
     * is free: if all requests were refused, the gate could not observe that a server has become fast again.
     */
    fun overload(request: GateRequest, now: Long): RequestError? {
        val ahead = state.inFlight + state.queue.size
        val queueFull = state.queue.size >= state.configuration.limits.queueLength
        val serviceAllowance = state.slots.serviceTime * state.policy.headroom(ahead)
        val missesDeadline = now + waitTime() + serviceAllowance > request.deadlineAt
        val slotFree = ahead < state.slots.allowed
        val refuse = state.policy.earlyRefusal && !slotFree && (queueFull || missesDeadline)
        return if (refuse) RequestError(ErrorKind.OVERLOADED, retryAfterMilliseconds = waitTime().toLong()) else null
    }

    /** Expected time until a slot is free for one more request, in milliseconds. */
    fun waitTime(): Double {
        val ahead = state.inFlight + state.queue.size - state.slots.allowed + 1
        return if (ahead <= 0) 0.0 else ahead * state.slots.serviceTime / state.slots.allowed
    }

    /** The error for a request whose fingerprint is quarantined. */
    fun quarantineError(request: GateRequest, now: Long): RequestError {
        val remaining = state.suspects.remainingMilliseconds(request.fingerprint, now)
        return RequestError(ErrorKind.QUARANTINED, request.fingerprint, remaining)
    }

    /** The error for a request whose gate is closed here and may open at another instance. */
    fun gateMoved() = RequestError(ErrorKind.GATE_MOVED, retryAfterMilliseconds = RETRY_AFTER)

    companion object {
        /** Retry delay for errors whose cause is usually short-lived, in milliseconds. */
        const val RETRY_AFTER: Long = 500
    }
}
