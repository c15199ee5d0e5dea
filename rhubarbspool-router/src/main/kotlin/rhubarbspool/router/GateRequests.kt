/*
 * From a caller's request to what the gate decides on, and the fingerprint that is equal for equal method, target
 * and body.
 */
package rhubarbspool.router

import com.google.common.hash.Hashing
import rhubarbspool.configuration.RunKind
import rhubarbspool.gate.GateRequest

/** Hash over what makes two requests the same. */
internal fun IncomingRequest.fingerprint(): String = Hashing.murmur3_128().newHasher()
    .putUnencodedChars(configuration.service.text)
    .putUnencodedChars(route.method)
    .putUnencodedChars(target)
    .putBytes(body)
    .hash().toString()

/** This request as the gate sees it, number [id], of the shard under the row key [shard]. */
internal fun IncomingRequest.toGateRequest(id: Long, shard: String, share: Boolean): GateRequest {
    val fingerprint = fingerprint()
    return GateRequest(
        id = id,
        key = key,
        shard = shard,
        caller = caller,
        kind = route.kind,
        priority = route.priority,
        fingerprint = fingerprint,
        deadlineAt = deadlineAt,
        coalesceKey = fingerprint.takeIf { share && route.coalesce },
        onceId = requestId.takeIf { route.kind == RunKind.ONCE },
        firstAttempt = attempt.isFirst,
    )
}
