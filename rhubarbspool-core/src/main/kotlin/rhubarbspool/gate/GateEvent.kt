/*
 * What the edge tells a gate.
 */
package rhubarbspool.gate

import rhubarbspool.configuration.ServiceConfiguration

/** Something that the gate of a backend server has to know. */
sealed interface GateEvent {
    /** A request arrived. */
    data class RequestSubmitted(val request: GateRequest) : GateEvent

    /** The table said what became of the record of the once-only request [id]. */
    data class IntentResolved(val id: Long, val result: IntentResult) : GateEvent

    /** The caller of request [id] has gone. */
    data class RequestCancelled(val id: Long) : GateEvent

    /**
     * The call [id] ended. When the server may still be at work on it, [slotFree] is false and a [SlotFreed]
     * follows.
     */
    data class CallEnded(val id: Long, val result: CallResult, val slotFree: Boolean = true) : GateEvent

    /** The server has certainly ended work that was given up before. */
    data object SlotFreed : GateEvent

    /** The server was seen to crash or to have been started anew. */
    data object ServerCrashed : GateEvent

    /** The server says that it is cold. */
    data object ServerCold : GateEvent

    /** Time passed. */
    data object Tick : GateEvent

    /**
     * The gate may send. Once-only requests are in doubt until [suspectUntil]; with [unrecordedAllowed] they run
     * even when they can't be recorded.
     */
    data class Opened(
        val suspectUntil: Long = Long.MIN_VALUE,
        val unrecordedAllowed: Boolean = false,
    ) : GateEvent

    /** The gate may not send: the lease ended or the gate is being given away. */
    data object Closed : GateEvent

    /** Requests that [matches] belong to a shard that is being given away. */
    data class ShardReleased(val matches: (GateRequest) -> Boolean) : GateEvent

    /** The service has a new configuration. */
    data class Reconfigured(val configuration: ServiceConfiguration) : GateEvent
}
