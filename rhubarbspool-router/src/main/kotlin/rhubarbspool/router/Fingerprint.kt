/*
 * Fingerprints of requests: equal for equal method, target and body.
 */
package rhubarbspool.router

import com.google.common.hash.Hashing

/** Hash over what makes two requests the same. */
internal fun IncomingRequest.fingerprint(): String = Hashing.murmur3_128().newHasher()
    .putUnencodedChars(configuration.service.text)
    .putUnencodedChars(route.method)
    .putUnencodedChars(target)
    .putBytes(body)
    .hash().toString()
