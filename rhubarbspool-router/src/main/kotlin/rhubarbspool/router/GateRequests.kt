/*
 * Converts a caller's request into the gate's view of it. The fingerprint is equal for requests of one service with
 * equal method, target and body.
 */
package rhubarbspool.router

import com.google.common.hash.Hashing
import rhubarbspool.configuration.RunKind
import rhubarbspool.gate.GateRequest

/** Hash of service, method, target and body. */
internal fun IncomingRequest.fingerprint(): String = Hashing.murmur3_128().newHasher()
    .putUnencodedChars(configuration.service.text)
    .putUnencodedChars(route.method)
    .putUnencodedChars(target)
    .putBytes(body)
    .hash().toString()

/** The gate's view of this request, which belongs to the shard under the row key [shard]; [share] allows coalescing. */
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
