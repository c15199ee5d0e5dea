/*
 * What ties the bytes on a connection to a backend server to the request in flight there. A server may send a response
 * once more: late, in part, or without naming its request. A response belongs to the request in flight if it names that
 * request and no other. A connection that has delivered anything else is out of order: it carries no further request.
 */
package rhubarbspool.dispatch

/** The request to which a response on a connection belongs. */
enum class ResponseOwner {
    IN_FLIGHT,

    /** A request that is not in flight on the connection; the response can be skipped. */
    ANOTHER,

    /** No request for certain. */
    UNKNOWN,
}

/** Why a connection is out of order. */
enum class Disorder {
    /** A response named another request. */
    RESPONSE_TO_ANOTHER,

    /** A response on a reused connection named no request, or the one in flight beside another. */
    UNNAMED_RESPONSE,

    /** The body of a response contained the head of another one. */
    RESPONSE_IN_BODY,

    /** Bytes that are no response, where one was due. */
    NOT_HTTP,

    /** Bytes behind a whole response. */
    SURPLUS_BYTES,

    /** Bytes while no request was in flight. */
    UNSOLICITED_BYTES,
}

/** The requests that one connection has carried. Not thread-safe. */
class ConnectionRecord {
    private val marks = HashSet<String>()
    private var inFlight: String? = null

    /** Number of requests that the connection has carried. */
    var requestCount: Int = 0
        private set

    /** What put the connection out of order first; null while it is in order. */
    var disorder: Disorder? = null
        private set

    /** Whether the connection may carry another request. */
    val isReusable: Boolean get() = disorder == null && requestCount < MAXIMUM_REQUESTS

    /**
     * Whether the connection may carry the request with [id]. No two requests with one id share a connection, not even
     * attempts of the same request, because the id tells their responses apart.
     */
    fun mayCarry(id: String): Boolean = isReusable && id !in marks

    /** The request with [id] is sent. */
    fun begin(id: String) {
        requestCount++
        inFlight = id
        marks += id
    }

    /** The request to which a response belongs that names the requests [ids]. */
    fun ownerOf(ids: List<String>): ResponseOwner {
        val isOnlyOne = requestCount == 1 && disorder == null
        return when {
            ids.isEmpty() && isOnlyOne -> ResponseOwner.IN_FLIGHT
            ids.isNotEmpty() && ids.all { it == inFlight } -> ResponseOwner.IN_FLIGHT
            inFlight in ids || ids.isEmpty() -> ResponseOwner.UNKNOWN.also { onDisorder(Disorder.UNNAMED_RESPONSE) }
            else -> ResponseOwner.ANOTHER.also { onDisorder(Disorder.RESPONSE_TO_ANOTHER) }
        }
    }

    /** A response with [signature], which no other response has, belongs to the request in flight. */
    fun onSignature(signature: String) {
        marks += signature
    }

    /** Something arrived that does not belong to the request in flight. */
    fun onDisorder(kind: Disorder) {
        if (disorder == null) disorder = kind
    }

    /** Whether [head] names a request that the connection has carried, or bears the signature of its response. */
    fun isNamedIn(head: String): Boolean = marks.any { it in head }

    private companion object {
        /** Bounds the memory for ids and signatures. */
        const val MAXIMUM_REQUESTS = 100
    }
}
