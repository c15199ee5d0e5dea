/*
 * Events that the edge reports to a gate.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.ServiceConfiguration

/** An input of the gate of one backend server. */
sealed interface GateEvent {
    /** A request arrived. */
    data class RequestSubmitted(val request: GateRequest) : GateEvent

    /** The table responded to the intent record of the once-only request [id], or can't be reached. */
    data class IntentResolved(val id: Long, val result: IntentResult) : GateEvent

    /** Nobody waits for request [id] at this gate any more. */
    data class RequestCancelled(val id: Long) : GateEvent

    /**
     * The call [id] ended. If the server may still be running it, [slotFree] is false and a [SlotFreed] follows.
     */
    data class CallEnded(val id: Long, val result: CallResult, val slotFree: Boolean = true) : GateEvent

    /** The server has certainly ended a call that was abandoned before. */
    data object SlotFreed : GateEvent

    /** The server was observed to have crashed or restarted. */
    data object ServerCrashed : GateEvent

    /** The server reports that it is cold. */
    data object ServerCold : GateEvent

    /** Periodic event by which the gate expires requests and state. */
    data object Tick : GateEvent

    /**
     * The gate may send. Until [suspectUntil], once-only requests without an entry here are refused, as an earlier
     * attempt may have run; with [unrecordedAllowed] they run even if they can't be recorded.
     */
    data class Opened(
        val suspectUntil: Long = Long.MIN_VALUE,
        val unrecordedAllowed: Boolean = false,
    ) : GateEvent

    /** The gate may not send: its lease expired or the gate is being handed over. */
    data object Closed : GateEvent

    /** Requests that [matches] belong to a shard that is being handed over. */
    data class ShardReleased(val matches: (GateRequest) -> Boolean) : GateEvent

    /** The configuration of the service was replaced. */
    data class Reconfigured(val configuration: ServiceConfiguration) : GateEvent
}
