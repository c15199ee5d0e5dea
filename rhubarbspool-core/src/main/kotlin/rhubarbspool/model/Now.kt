/*
 * The present time, handed to each function that decides.
 */
package rhubarbspool.model

/**
 * The present time of one process.
 *
 * @property monotonic milliseconds of a clock that never goes back; comparable only within one process.
 * @property wall milliseconds since 1970 of a clock that may be off; only for people and for expiries.
 */
data class Now(val monotonic: Long, val wall: Long = 0)
