/*
 * Current time, passed as an argument to functions that depend on it.
 */
package rhubarbspool.model

/**
 * Current time of one process.
 *
 * @property monotonic milliseconds of the monotonic clock; comparable only within one process.
 * @property wall milliseconds since 1970 of the wall clock, which may be wrong; only for display and for expiry times.
 */
data class Now(val monotonic: Long, val wall: Long = 0)
